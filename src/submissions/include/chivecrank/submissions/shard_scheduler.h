#ifndef CHIVECRANK_SUBMISSIONS_SHARD_SCHEDULER_H_
#define CHIVECRANK_SUBMISSIONS_SHARD_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/record_codec.h"
#include "chivecrank/submissions/scheduler_event.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

namespace internal {
struct shard_core;
}  // namespace internal

/// How busy a shard is.
struct shard_load {
  coordination::resources capacity;
  coordination::resources reserved;
};

/// Decides where the tasks of one shard run. Deterministic: the caller brings
/// reports, answers and the time, commits each batch before its orders are
/// sent, and sends the orders.
class shard_scheduler {
 public:
  shard_scheduler(scheduler_settings settings, scheduler_event_hook on_event);
  ~shard_scheduler();

  /// A submission of the shard. One that is known already is left as it is.
  void Accept(const submission& accepted);
  /// Applies an entry of the shard's journal, oldest first, after the
  /// submissions were accepted and before anything else happens.
  void Restore(const journal_entry& entry);
  /// Ends the restoring. Runs that the journal knows may be alive on workers
  /// that don't answer until `leases_over`.
  void FinishRestore(base::time_point now, base::time_point leases_over);

  /// Stops the tasks of a submission; nothing of it starts again.
  void Cancel(const std::string& submission, base::time_point now);
  /// The queue's policy as of now; the service may have changed.
  void SetPolicy(const std::string& queue, const queue_policy& policy);
  /// All workers that discovery lists for this shard.
  void SetWorkers(const std::vector<worker_description>& workers);

  /// A lease, or an order that carries one, is being sent to a worker.
  void OnLeaseSent(const std::string& worker, base::time_point now);
  /// A worker answered a request that was sent at `requested_at`.
  void OnReport(const std::string& worker,
                const worker_report& report,
                base::time_point requested_at,
                base::time_point now);
  void OnStartOutcome(const start_command& command,
                      start_outcome answer,
                      base::time_point now);
  /// `done`: the worker confirmed the order to stop.
  void OnStopOutcome(const stop_command& command,
                     bool done,
                     base::time_point now);
  /// The answer to a question for permits; null when there was none.
  void OnPermitResponse(const permit_request& request,
                        const std::vector<start_permit>* granted,
                        base::time_point now);
  void OnThrottleOutcome(const throttle_command& command, bool done);

  /// Places what can be placed. `since_epoch` is the time of day.
  void Plan(base::time_point now, std::chrono::milliseconds since_epoch);
  /// What must be committed next; nothing when nothing has changed. The
  /// previous batch must have been committed.
  std::optional<progress_batch> TakeBatch();
  void OnCommitted(std::uint64_t batch);
  /// The orders that are due.
  command_set TakeCommands(base::time_point now);

  /// Workers that were weighed for tasks so far: what placing costs.
  std::uint64_t ScoredWorkers() const;

  /// The newest end of the worker that may be acknowledged.
  std::int64_t AcknowledgedEnd(const std::string& worker) const;
  /// Whether the worker runs anything that the scheduler knows of.
  bool HasRuns(const std::string& worker) const;
  /// Whether a worker follows a newer owner.
  bool IsFenced() const;
  /// The whole progress, for a snapshot.
  journal_entry Snapshot() const;
  /// Submissions without times of which no worker has told a run yet.
  std::vector<std::string> UnstartedSubmissions() const;
  shard_load Load() const;

  /// A submission that this shard has had no room for.
  struct unplaced_submission {
    std::string id;
    /// Processors that its waiting tasks reserve.
    std::int64_t reserved_milli = 0;
  };
  /// Submissions that have waited for room for `patience` and never started.
  std::vector<unplaced_submission> UnplacedSubmissions(
      base::time_point now,
      std::chrono::milliseconds patience) const;
  /// Starts nothing of a submission that never started, while it is given to
  /// another shard. False when it has started or is unknown.
  bool BeginMove(const std::string& submission);
  /// The submission that was being moved is another shard's.
  void FinishMove(const std::string& submission);

 private:
  std::unique_ptr<internal::shard_core> core_;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_SHARD_SCHEDULER_H_
