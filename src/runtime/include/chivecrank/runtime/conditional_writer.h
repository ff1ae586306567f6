#ifndef CHIVECRANK_RUNTIME_CONDITIONAL_WRITER_H_
#define CHIVECRANK_RUNTIME_CONDITIONAL_WRITER_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::runtime {

enum class write_outcome {
  kWritten,
  /// A key that had to be absent exists, so that nothing was written.
  kKeyExists,
  /// Nothing was written, nor will be.
  kNotWritten,
  /// It may have been written, or may be written later.
  kUnknown,
};

struct write_result {
  write_outcome outcome = write_outcome::kNotWritten;
  /// With kKeyExists: the first of conditional_write::absent_keys that exists.
  std::string existing_key;
};

struct conditional_write {
  metadata::write write;
  /// The write takes effect only while none of these keys exists.
  std::vector<std::string> absent_keys;
  /// `done` is called by then.
  base::time_point give_up_at;
  std::function<void(const write_result&)> done;
};

struct conditional_writer_settings {
  /// What the log calls these writes.
  std::string_view name;
  /// Maximum number of transactions in flight.
  std::size_t max_in_flight = 2;
  /// Minimum time between two transactions.
  std::chrono::milliseconds min_interval{0};
  /// Time before a write with unknown outcome is sent again.
  std::chrono::milliseconds retry{120};
  /// How long FailedRecently() holds after a failed transaction.
  std::chrono::milliseconds failure_backoff{300};
};

/// Writes keys under the condition that others don't exist; one transaction
/// carries several. A write without an answer is sent again until it has one or
/// nobody waits any more. Its conditions must ensure that being applied twice,
/// or late, does no harm. Not thread-safe.
class conditional_writer {
 public:
  struct hooks {
    /// The lease for the next transaction's keys, 0 for none; nullopt if there
    /// is none now. Resume() must be called once there is.
    std::function<std::optional<metadata::lease_id>()> lease = [] {
      return metadata::lease_id{0};
    };
    /// The store doesn't know the lease any more.
    std::function<void()> on_lease_ended = [] {};
  };

  conditional_writer(reactor::event_loop& loop,
                     metadata::store& store,
                     event_log::event_log& log,
                     conditional_writer_settings settings,
                     hooks handlers);

  /// Calls `done` at once if the write's turn can't come in time.
  void Write(conditional_write what);
  /// Sends what waited for a lease.
  void Resume() { SendNext(); }
  /// Gives up all writes that were never sent.
  void RejectUnsent();
  bool FailedRecently() const;

 private:
  struct pending_write {
    conditional_write what;
    /// It is part of a transaction that is on its way to the store, or of one
    /// that may have been applied.
    bool sent = false;
    /// A transaction that contained it may have been applied or may still be.
    bool may_be_stored = false;
    bool completed = false;

    std::size_t Entries() const { return what.absent_keys.size() + 1; }
  };
  using pending = std::shared_ptr<pending_write>;
  using group = std::vector<pending>;

  bool CanBeSentBefore(base::time_point deadline) const;
  void SendNext();
  void SendAt(base::time_point due);
  group TakeGroup();
  void DropCompleted();
  void Send(group sent, metadata::lease_id lease);
  void OnAnswer(const group& sent,
                base::result<metadata::commit_answer> answer);
  void OnFailure(const group& sent, const base::error& failure);
  void OnConflict(const group& sent, const metadata::commit_answer& answer);
  void SendAgain(const pending& written);
  void Complete(pending_write& written, const write_result& result);
  void Expire(pending_write& written);

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  const conditional_writer_settings settings_;
  const hooks hooks_;
  std::deque<pending> queued_;
  std::size_t in_flight_ = 0;
  base::time_point next_send_at_;
  bool send_scheduled_ = false;
  base::time_point failed_until_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_CONDITIONAL_WRITER_H_
