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
#include "internal/run_times.h"
#include "internal/service_load.h"

namespace chivecrank::submissions::internal {

/// The tasks of one step in one occurrence.
struct live_step {
  std::vector<task_progress> tasks;
  std::int32_t done = 0;
  measured_runs measured;
  /// What is known of the load on its tasks; null when they are no services.
  std::shared_ptr<service_load> load;

  bool Done() const { return done == static_cast<std::int32_t>(tasks.size()); }
};

struct live_occurrence {
  /// Time of day from which its tasks may start.
  std::chrono::milliseconds due_since_epoch{0};
  std::vector<live_step> steps;
  /// Time from the due time in which the occurrence should be done.
  std::chrono::milliseconds allowed{0};
  /// Per step, the time from its begin to the occurrence's end; see
  /// WorkFromSteps.
  std::vector<std::chrono::milliseconds> work_from;
  /// All its work and what is left of it, in processor seconds.
  double work = 0;
  double work_left = 0;
};

/// A submission with tasks that have not ended.
struct live_submission {
  submission request;
  std::vector<live_occurrence> occurrences;
  std::optional<submission_outcome> outcome;
  /// Whether any of its tasks was ever assigned.
  bool started = false;
  /// Whether a worker has told of a run of it. A run that was assigned may
  /// never have begun: its order can be lost with the owner that decided it.
  bool began = false;
  /// Runs whose end isn't known.
  std::int32_t active_runs = 0;
  /// Since when it waits for room without having started; unset for never.
  std::optional<base::time_point> no_room_since;
  /// It is being given to another shard: nothing of it starts here.
  bool moving = false;
  /// When its run times were last foreseen; unset after something was learned
  /// of them.
  std::optional<base::time_point> foreseen_at;
};

/// The live submissions of a shard and the progress of their tasks.
class submission_table {
 public:
  using map = std::map<std::string, std::unique_ptr<live_submission>>;

  /// Adds a submission; one that is there already stays as it is.
  live_submission& Add(const submission& accepted);
  live_submission* Find(const std::string& id);
  /// Null when the submission is unknown or has no such task.
  task_progress* Find(const task_ref& task);
  const step_request* StepOf(const task_ref& task) const;
  /// The step of a task that exists.
  live_step& ProgressOf(const task_ref& task);
  void Erase(const std::string& id);
  const map& All() const { return submissions_; }
  map& All() { return submissions_; }

  /// Whether all steps before this one are done in its occurrence.
  static bool IsReady(const live_submission& live,
                      std::size_t occurrence,
                      std::size_t step);

  /// Works out anew what the submission's occurrences are allowed and what is
  /// left of them.
  static void Foresee(live_submission& live,
                      const run_times& times,
                      base::time_point now);

  /// Marks the task as done, and with it the whole step when it is a gang.
  void MarkDone(const task_ref& task);
  /// The task's progress must be written.
  void Touch(const task_ref& task) { touched_.insert(task); }
  bool HasTouched() const { return !touched_.empty(); }
  /// The progress of the touched tasks, which then count as written.
  std::vector<task_change> TakeTouched();
  /// The progress of all tasks that have any.
  std::vector<task_change> Everything() const;

  /// Whether every step of every occurrence is done.
  static bool IsDone(const live_submission& live);
  /// Whether a task has failed as often as its queue allows.
  static bool HasFailed(const live_submission& live);

 private:
  void MarkOneDone(const task_ref& task);

  map submissions_;
  absl::flat_hash_set<task_ref> touched_;
};

/// Per step, the longest chain of run times from its begin to the end of the
/// last step. `run_times` has the time of each step.
std::vector<std::chrono::milliseconds> WorkFromSteps(
    const std::vector<step_request>& steps,
    const std::vector<std::chrono::milliseconds>& run_times);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_SUBMISSION_TABLE_H_
