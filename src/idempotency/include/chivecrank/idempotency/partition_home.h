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
#include "chivecrank/idempotency/key_table.h"
#include "chivecrank/idempotency/partition_log.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

/// Home of one partition: admits each request once and records intents and
/// outcomes in the partition's log, many in one write. Thread-safe.
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

  /// Takes ownership of the partition and starts recording.
  base::result<void> Open();

  /// Decides about a request. Waits until its intent is recorded, or for the
  /// outcome of the same request in flight. May be called again with the same
  /// token. kFenced: this is no longer the home, and the request must not be
  /// sent.
  base::result<decision> Begin(const arrival& request, time_limits limits);

  /// Applies the outcome of an admitted request. kFenced: this is no longer the
  /// home.
  base::result<void> Finish(const log_entry& outcome);

  /// Reports the state of a key. kAbsent is reported only if the request
  /// certainly did not run. kFenced: this is no longer the home.
  base::result<key_report> Describe(const std::string& request_id);

  /// Writes all pending entries, for at most `limit`, and gives up the
  /// partition. Requests in flight stay in flight at the next owner.
  void Close(std::chrono::milliseconds limit);

  bool IsOpen() const;

 private:
  using lock = std::unique_lock<std::mutex>;

  struct admitted_request {
    std::string token;
    std::uint64_t fingerprint = 0;
    /// Time after which the request counts as unknown.
    base::time_point end_deadline;
  };

  bool IsRecordSlow(base::time_point now, base::time_point started_at) const;
  void RecordAdmission(const arrival& request, base::time_point deadline);
  void RunWriter();
  bool WaitForWork(lock& held);
  bool IsWriteDue(base::time_point now) const;
  void Enqueue(const log_entry& entry);
  std::vector<log_entry> TakeBatch();
  base::result<void> WriteBatch(lock& held);
  void HandleWriteResult(const base::result<void>& result,
                         base::time_point started);
  void ExpireOverdue();

  base::clock& clock_;
  const partition_id number_;
  const home_settings settings_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  key_table key_table_;
  /// Used only by Open and then by the writer thread, and by Close after that
  /// thread has ended.
  partition_log log_;
  std::vector<log_entry> pending_;
  /// Entries of the write that is in progress or whose outcome is unknown.
  std::vector<log_entry> current_batch_;
  std::map<std::string, admitted_request> in_flight_;
  base::time_point confirmed_at_;
  base::time_point oldest_pending_at_;
  base::time_point next_expiry_;
  /// End of the writes so far if they were evenly spaced by the mean write
  /// interval.
  base::time_point paced_until_;
  bool open_ = false;
  bool closing_ = false;
  bool stopping_ = false;
  bool fenced_ = false;
  bool store_failing_ = false;
  std::thread writer_thread_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_PARTITION_HOME_H_
