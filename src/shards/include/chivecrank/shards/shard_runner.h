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

/// Leads the tasks of one shard for as long as this scheduler owns it. Calls
/// to workers and the store run on the executors, never under the lock.
/// Events change the state at once; whatever follows from them outside
/// (answers to callers, starts, acknowledgements) waits for the journal.
/// Safe to use from several threads.
class shard_runner {
 public:
  /// `held` is the ownership lease under which the epoch was claimed.
  shard_runner(std::string shard,
               std::uint64_t epoch,
               shard_settings settings,
               base::clock& clock,
               coordination::store& store,
               workers::agent& agents,
               std::string run,
               std::shared_ptr<const protocol::ownership_lease> held,
               executors run_on,
               event_hook on_event = {});
  /// Waits for the calls in progress.
  ~shard_runner();
  shard_runner(const shard_runner&) = delete;
  shard_runner& operator=(const shard_runner&) = delete;

  /// Reads the journal and opens the epoch. Nothing else may be called before
  /// it succeeded.
  base::result<void> Open();

  /// One round: records what was lost, plans starts, and hands due syncs and
  /// writes to the executors. kFenced: the shard has another owner; drop this
  /// runner. kUnavailable: the ownership may have ended.
  base::result<void> RunRound(
      const std::vector<coordination::instance>& workers);

  /// Accepts a task once its record is confirmed, or returns the one that was
  /// accepted under the same identifier. kUnavailable: it was not accepted.
  /// kOutcomeUnknown: it may be; repeat with the same identifier.
  base::result<scheduling::task> Submit(
      const scheduling::task_request& request);
  base::result<scheduling::task> Find(const std::string& task_id);
  base::result<scheduling::task> Cancel(const std::string& task_id);
  /// Cancels all that have not ended, in one record.
  base::result<void> CancelAll(const std::vector<std::string>& task_ids);

  shard_totals Totals();

  /// Renews the leases of workers that answer, so that the next owner has the
  /// whole term to reach them; then starts no more calls and waits for those
  /// in progress.
  void Close();

  const std::string& shard() const { return shard_; }
  std::uint64_t epoch() const { return epoch_; }

 private:
  /// A worker with what is needed to call it.
  struct worker_entry;
  void RenewLast();
  base::result<void> CheckFull() const;
  base::result<void> CheckNotFenced() const;
  void UpdateWorkers(const std::vector<coordination::instance>& workers);
  worker_entry& EntryOf(const std::string& worker_id);
  void StageLostAttempts();
  void StagePlanned();
  /// Whether others wait for a planned event, so that its write can't.
  bool IsUrgent(const scheduling::event& planned) const;
  std::unique_ptr<internal::shard_state_machine> NewLedger();
  void AskForWrite();
  base::result<std::uint64_t> Stage(std::vector<scheduling::event> events);
  base::result<void> AwaitConfirmed(std::unique_lock<std::mutex>& lock,
                                    std::uint64_t position);

  /// Hands due syncs and writes to the executors. Needs the lock free.
  void Dispatch();
  std::vector<std::string> TakeDue();
  bool TakeWrite();
  void Launch(const executor& on, std::function<void()> job);
  void SyncWorker(const std::string& worker_id);
  void OnAnswer(const std::string& worker_id,
                const workers::sync_command& command,
                const base::result<workers::sync_report>& answer);
  void WriteStaged();
  bool WriteOnce(std::unique_lock<std::mutex>& lock);
  bool OnWriteFailed(const base::error& failure);
  void WriteSnapshot(std::unique_lock<std::mutex>& lock);

  const std::string shard_;
  const std::uint64_t epoch_;
  const shard_settings settings_;
  base::clock& clock_;
  workers::agent& agents_;
  const std::shared_ptr<const protocol::ownership_lease> held_;
  const executors run_on_;
  const event_hook on_event_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::unique_ptr<scheduling::planner> planner_;
  std::unique_ptr<internal::shard_state_machine> ledger_;
  std::map<std::string, worker_entry> workers_;
  bool plan_due_ = true;
  base::time_point next_commit_{};
  /// After a failed write the next one waits.
  base::time_point next_write_{};
  base::time_point next_plan_{};
  bool fenced_ = false;
  /// Rounds have ended; what goes out only renews leases.
  bool renewing_last_ = false;
  bool closing_ = false;
  int calls_in_progress_ = 0;

  /// Used by the one writer at a time.
  journal::shard_journal journal_;
  bool writing_ = false;
  std::size_t batch_limit_;
  /// Counts writes that failed; reset by one that succeeded.
  int failed_writes_ = 0;
  std::uint64_t failures_seen_ = 0;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_RUNNER_H_
