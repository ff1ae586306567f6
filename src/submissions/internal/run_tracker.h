#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TRACKER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TRACKER_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/scheduler_event.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/run_time_estimator.h"
#include "internal/submission_table.h"
#include "internal/worker_health.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Assigns tasks to workers and tracks each run until its end is known. Keeps
/// submissions, workers and pending commands consistent.
class run_tracker {
 public:
  run_tracker(const scheduler_settings& settings,
              const scheduler_event_hook& on_event)
      : settings_(settings), on_event_(on_event) {}

  submission_table& Submissions() { return submissions_; }
  const submission_table& Submissions() const { return submissions_; }
  worker_table& Workers() { return workers_; }
  const worker_table& Workers() const { return workers_; }
  image_index& Images() { return images_; }
  const image_index& Images() const { return images_; }

  worker_health& Health() { return health_; }

  const run_time_estimator& RunTimes() const { return run_time_estimator_; }
  /// Expected run time of a task, which must exist.
  std::chrono::duration<double, std::milli> ExpectedTime(const task_ref& task);

  /// Sets the wall-clock time from which the age of submissions is computed.
  void SetTimeOfDay(std::chrono::milliseconds since_epoch) {
    since_epoch_ = since_epoch;
  }

  /// Assigns run `run` of a waiting task to a worker.
  void Assign(const task_ref& task,
              std::int32_t run,
              worker_entry& worker,
              base::time_point now);
  /// Records that a worker has reported a run of the task.
  void MarkReported(const task_ref& task);
  /// Restores a run from the journal.
  void RestoreRun(const task_ref& task, base::time_point now);

  /// Returns the task to waiting: the run never started, or was lost without a
  /// reported end.
  void Revert(worker_entry& worker, const task_ref& task);
  /// Reverts a run that ended without a reported end.
  void MarkLost(worker_entry& worker,
                const task_ref& task,
                std::string_view reason);
  /// Reverts a run that ended with a crash of its worker, and gives the task up
  /// if it crashes its workers.
  void MarkCrashed(worker_entry& worker,
                   const task_ref& task,
                   std::string_view reason,
                   base::time_point now);
  /// Logs which long-running tasks are still on a draining worker, and why.
  void ReportLeftBehind(const worker_entry& worker) const;
  /// Notes in the progress of the tasks that the worker has just started that
  /// it fell silent, for the owner that learns whether it crashed.
  void MarkDoubted(const worker_entry& worker);
  /// Records that the run is no cause of later crashes of its worker.
  void MarkSurvived(worker_entry& worker,
                    const task_ref& task,
                    active_run& run);
  /// Processes the end of a run that the worker reported.
  void HandleEnd(worker_entry& worker,
                 const reported_end& end,
                 base::time_point now);

  /// A report shows a long-running task at work, which may test its worker.
  void CheckTest(worker_entry& worker,
                 const task_ref& task,
                 const active_run& run,
                 base::time_point now);

  /// Prefers other workers for the avoidance period.
  void Avoid(worker_entry& worker,
             std::string_view reason,
             std::int64_t count,
             base::time_point now);
  /// Ends a submission and stops its remaining runs.
  void Finish(live_submission& live,
              submission_outcome outcome,
              base::time_point now);
  /// Queues a command to stop a run.
  void Stop(worker_entry& worker,
            const task_ref& task,
            active_run& run,
            base::time_point now);
  void AddStop(stop_command command) { stops_.push_back(std::move(command)); }
  std::vector<stop_command> TakeStops() { return std::exchange(stops_, {}); }

  /// Returns the start commands whose assignments are not committed yet.
  std::vector<start_command> TakeUncommittedStarts() {
    return std::exchange(uncommitted_starts_, {});
  }
  std::vector<outcome_change> TakeOutcomes() {
    return std::exchange(outcomes_, {});
  }
  bool HasChanges() const {
    return !outcomes_.empty() || submissions_.HasChanged();
  }
  /// Erases an ended submission once it has no active runs.
  void EraseIfFinished(const std::string& submission);

  void Emit(const scheduler_event& event) const;

 private:
  active_run MakeRun(const task_ref& task,
                     std::int32_t number,
                     base::time_point now);
  void RemoveRun(worker_entry& worker, const task_ref& task);
  void ClearSuspicion(const worker_entry& worker,
                      const task_ref& task,
                      task_progress& progress);
  /// The load estimate that the runs of the task's step share.
  std::shared_ptr<service_load> LoadOf(const task_ref& task,
                                       base::time_point now);
  /// Updates the run time estimates with a run that completed.
  void RecordRunTime(const task_ref& task,
                     const active_run& run,
                     base::time_point now);
  void CountFailure(worker_entry& worker,
                    const reported_end& end,
                    task_progress& progress,
                    base::time_point now);
  void UpdateHealth(worker_entry& worker,
                    const reported_end& end,
                    const active_run& run,
                    base::time_point now);
  void EmitTrusted(const worker_entry& worker) const;
  void FinishIfDone(const std::string& submission, base::time_point now);
  void ReleaseGang(const task_ref& task);
  void MarkChanged(const live_submission& live, const task_ref& task);

  const scheduler_settings& settings_;
  const scheduler_event_hook& on_event_;
  submission_table submissions_;
  worker_table workers_;
  worker_health health_{settings_, workers_};
  image_index images_;
  run_time_estimator run_time_estimator_;
  std::chrono::milliseconds since_epoch_{0};
  std::vector<stop_command> stops_;
  std::vector<start_command> uncommitted_starts_;
  std::vector<outcome_change> outcomes_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TRACKER_H_
