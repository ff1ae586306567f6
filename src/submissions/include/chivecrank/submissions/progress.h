#ifndef CHIVECRANK_SUBMISSIONS_PROGRESS_H_
#define CHIVECRANK_SUBMISSIONS_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// Where a task stands.
enum class task_phase {
  /// Waits for a run.
  kWaiting,
  /// A run was decided on a worker and its end isn't known.
  kAssigned,
  kDone,
};

/// What must survive of a task.
struct task_progress {
  task_phase phase = task_phase::kWaiting;
  /// Number of the newest run; 0 before the first.
  std::int32_t run = 0;
  /// Where the newest run was assigned, and in which life of the worker.
  std::string worker;
  std::int64_t worker_born_ms = 0;
  /// Runs that ended as failed.
  std::int32_t failures = 0;
  /// The newest run that is counted in `failures`; an end that is listed again
  /// after a takeover must not count twice.
  std::int32_t counted_run = 0;
  /// The worker of the newest failure.
  std::string failed_on;
  std::string checkpoint;

  bool operator==(const task_progress&) const = default;
};

/// The progress of a task as of now.
struct task_change {
  task_ref task;
  task_progress progress;
};

/// A submission ended.
struct outcome_change {
  std::string submission;
  submission_outcome outcome = submission_outcome::kCompleted;
};

/// Changes that are committed as one.
struct progress_batch {
  /// Counts the batches of one scheduler, from 1.
  std::uint64_t number = 0;
  std::vector<task_change> tasks;
  std::vector<outcome_change> outcomes;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_PROGRESS_H_
