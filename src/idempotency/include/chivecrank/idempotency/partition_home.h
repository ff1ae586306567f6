#ifndef CHIVECRANK_IDEMPOTENCY_PARTITION_HOME_H_
#define CHIVECRANK_IDEMPOTENCY_PARTITION_HOME_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/key_ledger.h"
#include "chivecrank/idempotency/partition_log.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

/// The home of one partition: admits each request once, and records intents
/// and ends in the partition's log, many in one write. Safe to use from
/// several threads.
class partition_home {
 public:
  partition_home(coordination::store& store,
                 base::clock& clock,
                 partition_id number,
                 const std::string& writer,
                 home_settings settings);
  ~partition_home();
  partition_home(const partition_home&) = delete;
  partition_home& operator=(const partition_home&) = delete;

  /// Takes the partition over and starts recording.
  base::result<void> Open();

  /// Decides about a request; waits for its record, or for the end of the
  /// same request in flight. The same token may be asked about again. kFenced:
  /// this is no longer the home, and the request is not to be sent.
  base::result<decision> Begin(const arrival& request, time_limits limits);

  /// Takes in how an admitted request ended. kFenced: not the home any more.
  base::result<void> Finish(const log_entry& ended);

  /// kAbsent is only said of a key that certainly did not run. kFenced: not
  /// the home any more.
  base::result<key_report> Describe(const std::string& request_id);

  /// Records all that is known, for `limit` at most, and gives the partition
  /// up. What is in flight stays so at the next owner.
  void Close(std::chrono::milliseconds limit);

  bool IsOpen() const;

 private:
  using lock = std::unique_lock<std::mutex>;

  struct admitted_request {
    std::string token;
    std::uint64_t fingerprint = 0;
    /// When it must have ended.
    base::time_point ends;
  };

  bool IsSlow(base::time_point now, base::time_point asked) const;
  void Admit(const arrival& request, base::time_point deadline);
  void Run();
  bool WaitForWork(lock& held);
  bool IsWriteDue(base::time_point now) const;
  void Append(const log_entry& entry);
  std::vector<log_entry> TakeBatch();
  base::result<void> Write(lock& held);
  void TakeResult(const base::result<void>& result, base::time_point started);
  void EndOverdue();

  base::clock& clock_;
  const partition_id number_;
  const home_settings settings_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  key_ledger ledger_;
  /// Used by Open and then by the recording thread only.
  partition_log log_;
  std::vector<log_entry> pending_;
  /// Entries of the write that is under way or in doubt.
  std::vector<log_entry> writing_;
  std::map<std::string, admitted_request> in_flight_;
  base::time_point confirmed_;
  base::time_point pending_since_;
  base::time_point expire_at_;
  /// Where the writes so far would end if they were evenly spaced.
  base::time_point paced_until_;
  bool open_ = false;
  bool closing_ = false;
  bool stopping_ = false;
  bool fenced_ = false;
  bool failing_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_PARTITION_HOME_H_
