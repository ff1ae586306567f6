#ifndef CHIVECRANK_SUBMISSIONS_SHARD_SCHEDULER_H_
#define CHIVECRANK_SUBMISSIONS_SHARD_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/domain_drain.h"
#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/record_codec.h"
#include "chivecrank/submissions/scheduler_event.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "chivecrank/submissions/types.h"
#include "chivecrank/submissions/worker_sizes.h"

namespace chivecrank::submissions {

namespace internal {
struct shard_core;
}  // namespace internal

/// Capacity and reserved resources of a shard's workers.
struct shard_load {
  coordination::resources capacity;
  coordination::resources reserved;
  /// Entry n is the number of workers with n whole cores free; the last entry
  /// also counts those with more.
  std::vector<std::int32_t> workers_by_free_cores;
};

/// Ends of leases by worker, on the clock of this process.
using lease_expiries = std::map<std::string, base::time_point>;

/// Runs on workers that have not answered for a while. Whether such a run is
/// alive is unknown until its worker answers or the worker's lease is over.
struct awaited_runs {
  std::size_t workers = 0;
  std::size_t runs = 0;
  /// Time until the last of the leases is over.
  std::chrono::milliseconds longest_wait{0};
};

/// Decides where the tasks of one shard run. Deterministic and without I/O: the
/// caller passes in reports, answers and the time, commits each batch, and then
/// sends the commands that the batch allows. Not thread-safe.
class shard_scheduler {
 public:
  shard_scheduler(scheduler_settings settings, scheduler_event_hook on_event);
  ~shard_scheduler();

  /// Adds a submission of the shard. Has no effect if the submission is already
  /// known.
  void Accept(const submission& accepted);
  /// Applies an entry of the shard's journal. Entries are passed oldest first,
  /// after the submissions were accepted and before any other call.
  void Restore(const journal_entry& entry);
  /// Ends the restore. Runs that the journal contains may still be alive on
  /// workers that do not answer until `longest_lease` after the shard was
  /// acquired, unless the journal has an earlier bound.
  void FinishRestore(base::time_point now,
                     base::time_point acquired_at,
                     std::chrono::milliseconds longest_lease);
  /// When the lease of each worker is over at the latest, as far as this owner
  /// and those before it granted it.
  lease_expiries LeaseExpiries() const;
  /// Applies what this process knew as the last owner; called after
  /// FinishRestore.
  void RestrictLeases(const lease_expiries& known);

  /// Stops the tasks of a submission and starts no more of them.
  void Cancel(const std::string& submission, base::time_point now);
  /// Sets the current policy of a queue; its service may have changed.
  void SetPolicy(const std::string& queue, const queue_policy& policy);
  /// Sets the workers that discovery currently lists for this shard.
  void SetWorkers(const std::vector<worker_description>& workers);

  /// Sets the failure domains that operators have drained.
  void SetDrainedDomains(const std::set<std::string>& domains,
                         base::time_point now);
  /// The drained domains are complete as of this time.
  void ConfirmDrains(base::time_point as_of);
  std::vector<domain_drain> Drains() const;

  /// No lease that earlier owners granted lasts any longer than that.
  void RestrictEarlierLeases(base::time_point latest_end);

  /// Whether an earlier owner may still renew the lease of a worker with runs,
  /// for all that this one knows.
  bool MayEarlierOwnersRenew() const;

  /// Must be called just before a lease, or a command that carries one, is sent
  /// to a worker.
  void OnLeaseSent(const std::string& worker, base::time_point now);
  /// Handles a worker's answer to a request that was sent at `requested_at`.
  void OnReport(const std::string& worker,
                const worker_report& report,
                base::time_point requested_at,
                base::time_point now);
  /// Handles that a poll failed without an answer of the worker.
  void OnPollUnanswered(const std::string& worker, base::time_point now);
  /// Handles that another worker answered, at this worker's address, to a
  /// request sent at `requested_at`: the worker has ended, and its runs with
  /// it.
  void OnWorkerReplaced(const std::string& worker,
                        base::time_point requested_at,
                        base::time_point now);
  void OnStartOutcome(const start_command& command,
                      start_outcome outcome,
                      base::time_point now);
  /// `confirmed`: the worker confirmed the stop command.
  void OnStopOutcome(const stop_command& command,
                     bool confirmed,
                     base::time_point now);
  /// Handles the answer to a permit request; `granted` is null if there was
  /// none.
  void OnPermitResponse(const permit_request& request,
                        const std::vector<start_permit>* granted,
                        base::time_point now);
  void OnThrottleOutcome(const throttle_command& command, bool confirmed);

  /// Assigns waiting tasks to workers where capacity allows. `since_epoch` is
  /// the wall-clock time.
  void Plan(base::time_point now, std::chrono::milliseconds since_epoch);
  /// Returns the changes to commit next, if any. The previous batch must have
  /// been committed.
  std::optional<progress_batch> TakeBatch();
  void OnCommitted(std::uint64_t batch);
  /// Returns the commands and permit requests that are due.
  command_set TakeCommands(base::time_point now);

  /// Number of times that a worker was scored for a task: the cost of
  /// placement.
  std::uint64_t ScoredWorkers() const;

  /// Highest number of a run end that may be acknowledged to the worker; 0 for
  /// none.
  std::int64_t AcknowledgedEnd(const std::string& worker) const;
  /// Whether a request to the worker may carry a lease.
  bool MayRenewLease(const std::string& worker) const;
  /// Whether the worker has just started a task that may crash it.
  bool HasTrial(const std::string& worker) const;
  /// Whether the scheduler knows of any run on the worker.
  bool HasRuns(const std::string& worker) const;
  /// Workers with runs, listed or not. Port 0 stands for an unknown address.
  std::vector<worker_description> WorkersWithRuns() const;
  awaited_runs AwaitedRuns(base::time_point now) const;
  /// Returns the complete state as a snapshot entry.
  journal_entry Snapshot() const;
  /// Returns the unfinished submissions that have no recurrence and no run that
  /// a worker has reported.
  std::vector<std::string> UnstartedSubmissions() const;
  shard_load Load() const;
  /// The largest sizes of workers that were ever listed, here or for an owner
  /// before.
  const worker_sizes& Sizes() const;
  void AddSizes(const worker_sizes& known);

  /// Returns the submissions that reserve processors, have never started and
  /// have waited for capacity for their `min_wait` or longer. They are valid
  /// until the next call that changes the scheduler.
  std::vector<const submission*> UnplacedSubmissions(
      base::time_point now,
      const std::function<std::chrono::milliseconds(const submission&)>&
          min_wait) const;
  /// Holds back a submission that never started while it is moved to another
  /// shard. Returns false if it has started, has ended or is unknown.
  bool BeginMove(const std::string& submission);
  /// Removes a submission whose move to another shard is complete.
  void FinishMove(const std::string& submission);

 private:
  std::unique_ptr<internal::shard_core> core_;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_SHARD_SCHEDULER_H_
