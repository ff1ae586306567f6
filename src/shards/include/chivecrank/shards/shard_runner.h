#ifndef CHIVECRANK_SHARDS_SHARD_RUNNER_H_
#define CHIVECRANK_SHARDS_SHARD_RUNNER_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/journal/shard_journal.h"
#include "chivecrank/protocol/ownership_lease.h"
#include "chivecrank/scheduling/planner.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/shards/shard_metrics.h"
#include "chivecrank/shards/types.h"
#include "chivecrank/workers/agent.h"

namespace chivecrank::shards {

namespace internal {
class shard_state_machine;
}  // namespace internal

/// Runs the tasks of one shard while this scheduler owns it. Calls to workers
/// and the store run on the executors, never under the lock. Events change the
/// state at once; their external effects (answers to callers, starts,
/// acknowledgements) wait until the journal has confirmed the events. Safe to
/// use from several threads.
class shard_runner {
 public:
  /// `ownership_lease` is the lease under which the epoch was claimed.
  shard_runner(std::string shard,
               std::uint64_t epoch,
               shard_settings settings,
               base::clock& clock,
               coordination::store& store,
               workers::agent& agents,
               std::string run,
               std::shared_ptr<const protocol::ownership_lease> ownership_lease,
               executors call_executors,
               event_hook on_event = {});
  /// Waits for the calls in progress.
  ~shard_runner();
  shard_runner(const shard_runner&) = delete;
  shard_runner& operator=(const shard_runner&) = delete;

  /// Reads the journal and opens the epoch. Must succeed before any other call.
  base::result<void> Open();

  /// Runs one planning round: stages the end of lost attempts, plans starts,
  /// and passes due syncs and writes to the executors. kFenced: the shard has
  /// another owner; destroy this runner. kUnavailable: the ownership lease may
  /// have expired.
  base::result<void> RunRound(
      const std::vector<coordination::instance>& workers);

  /// Accepts a task and returns it once its record is confirmed, or returns the
  /// task that was accepted earlier under the same identifier. kUnavailable:
  /// the task was not accepted. kOutcomeUnknown: the task may have been
  /// accepted; repeat the call with the same identifier.
  base::result<scheduling::task> Submit(
      const scheduling::task_request& request);
  base::result<scheduling::task> Find(const std::string& task_id);
  base::result<scheduling::task> Cancel(const std::string& task_id);
  /// Cancels those tasks that have not ended, in one journal record.
  base::result<void> CancelAll(const std::vector<std::string>& task_ids);

  shard_totals Totals();

  /// Renews the leases of responsive workers, so that the next owner has a full
  /// lease term to reach them. Then starts no more calls and waits for those in
  /// progress.
  void Close();

  const std::string& shard() const { return shard_; }
  std::uint64_t epoch() const { return epoch_; }

 private:
  /// A worker and the state of the calls to it.
  struct worker_entry;
  void RenewLeasesBeforeClose();
  base::result<void> CheckFullAuthority() const;
  base::result<void> CheckNotFenced() const;
  void UpdateWorkers(const std::vector<coordination::instance>& workers);
  worker_entry& EntryOf(const std::string& worker_id);
  void StageLostAttempts();
  void StagePlanned();
  /// Whether a planned event must be written without waiting for the commit
  /// window.
  bool IsUrgent(const scheduling::event& planned) const;
  std::unique_ptr<internal::shard_state_machine> NewStateMachine();
  void AskForWrite();
  base::result<std::uint64_t> Stage(std::vector<scheduling::event> events);
  base::result<void> AwaitConfirmation(std::unique_lock<std::mutex>& lock,
                                       std::uint64_t position);

  /// Passes due syncs and writes to the executors. The lock must not be held.
  void Dispatch();
  std::vector<std::string> TakeDueWorkers();
  bool TryBeginWrite();
  void Launch(const executor& on, std::function<void()> job);
  void SyncWorker(const std::string& worker_id);
  void OnAnswer(const std::string& worker_id,
                const workers::sync_command& command,
                const base::result<workers::sync_report>& answer);
  void WriteStaged();
  bool WriteBatch(std::unique_lock<std::mutex>& lock);
  bool OnWriteFailed(const base::error& failure);
  void WriteSnapshot(std::unique_lock<std::mutex>& lock);

  const std::string shard_;
  const std::uint64_t epoch_;
  const shard_settings settings_;
  base::clock& clock_;
  workers::agent& agents_;
  const std::shared_ptr<const protocol::ownership_lease> ownership_lease_;
  const executors call_executors_;
  const event_hook on_event_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::unique_ptr<scheduling::planner> planner_;
  std::unique_ptr<internal::shard_state_machine> state_machine_;
  std::map<std::string, worker_entry> workers_;
  bool plan_due_ = true;
  base::time_point next_write_request_{};
  /// Earliest time of the next write; later than now after a failed write.
  base::time_point next_write_{};
  base::time_point next_plan_{};
  bool fenced_ = false;
  /// Planning rounds have ended; the remaining syncs only renew leases.
  bool renewing_before_close_ = false;
  bool closing_ = false;
  int calls_in_progress_ = 0;

  /// Used only by the writer in progress, of which there is at most one.
  journal::shard_journal journal_;
  bool writing_ = false;
  std::size_t max_batch_events_;
  /// Number of failed writes since the last successful one.
  int consecutive_write_failures_ = 0;
  std::uint64_t total_write_failures_ = 0;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_RUNNER_H_
