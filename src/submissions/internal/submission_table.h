#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_SUBMISSION_TABLE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_SUBMISSION_TABLE_H_

#include <absl/container/flat_hash_set.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/types.h"
#include "internal/run_time_estimator.h"
#include "internal/service_load.h"

namespace chivecrank::submissions::internal {

/// The tasks of one step in one occurrence.
struct live_step {
  std::vector<task_progress> tasks;
  std::int32_t done = 0;
  measured_runs measured;
  /// A run of one of its tasks survived its start.
  bool any_survived = false;
  /// Load estimate of its tasks; null if they have no latency target.
  std::shared_ptr<service_load> load;

  bool Done() const { return done == static_cast<std::int32_t>(tasks.size()); }
};

struct live_occurrence {
  /// Time since the epoch from which its tasks may start.
  std::chrono::milliseconds due_since_epoch{0};
  std::vector<live_step> steps;
  /// Time after the due time within which the occurrence should end.
  std::chrono::milliseconds allowed_time{0};
  /// Per step, the time from its start to the end of the occurrence; see
  /// CriticalPaths.
  std::vector<std::chrono::milliseconds> critical_paths;
  /// Total and remaining work, in processor seconds.
  double work = 0;
  double work_left = 0;
};

/// A submission with tasks that have not ended.
struct live_submission {
  submission request;
  std::vector<live_occurrence> occurrences;
  std::optional<submission_outcome> outcome;
  bool any_task_assigned = false;
  /// Whether a worker has reported a run of it. An assigned run may never have
  /// started: its command can be lost with the owner that assigned it.
  bool run_reported = false;
  /// Number of runs whose end is not known yet.
  std::int32_t active_runs = 0;
  /// Since when it has waited for capacity without having started; unset if it
  /// has not waited.
  std::optional<base::time_point> no_capacity_since;
  /// It is being moved to another shard and must not start here.
  bool moving = false;
  /// When its run times were last forecast; unset after new measurements.
  std::optional<base::time_point> forecast_at;
};

/// The live submissions of a shard and the progress of their tasks.
class submission_table {
 public:
  using map = std::map<std::string, std::unique_ptr<live_submission>>;

  /// Adds a submission; has no effect if it is already present.
  live_submission& Add(const submission& accepted);
  live_submission* Find(const std::string& id);
  /// Returns null if the submission is unknown or has no such task.
  task_progress* Find(const task_ref& task);
  const step_request* StepOf(const task_ref& task) const;
  /// The step of a task, which must exist.
  live_step& LiveStepOf(const task_ref& task);
  void Erase(const std::string& id);
  const map& All() const { return submissions_; }
  map& All() { return submissions_; }

  /// Whether all prerequisites of the step are done in its occurrence.
  static bool IsReady(const live_submission& live,
                      std::size_t occurrence,
                      std::size_t step);

  /// Recomputes the allowed time and the remaining work of the submission's
  /// occurrences.
  static void UpdateForecast(live_submission& live,
                             const run_time_estimator& estimator,
                             base::time_point now);

  /// Marks the task as done; for a gang, all tasks of the step.
  void MarkDone(const task_ref& task);
  /// Adds the task to those whose progress must be written.
  void MarkChanged(const task_ref& task) { changed_.insert(task); }
  bool HasChanged() const { return !changed_.empty(); }
  /// Returns the progress of the changed tasks and clears their set.
  std::vector<task_change> TakeChanged();
  /// Returns the progress of all tasks that have made any.
  std::vector<task_change> AllProgress() const;

  static bool IsDone(const live_submission& live);
  /// Whether a task has reached the queue's limit of failed attempts, or
  /// crashes its workers.
  static bool HasFailed(const live_submission& live);

 private:
  void MarkOneDone(const task_ref& task);

  map submissions_;
  absl::flat_hash_set<task_ref> changed_;
};

/// Per step, the longest chain of run times from its start to the end of the
/// last step. `run_times` holds the run time of each step.
std::vector<std::chrono::milliseconds> CriticalPaths(
    const std::vector<step_request>& steps,
    const std::vector<std::chrono::milliseconds>& run_times);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_SUBMISSION_TABLE_H_
