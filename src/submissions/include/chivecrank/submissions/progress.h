#ifndef CHIVECRANK_SUBMISSIONS_PROGRESS_H_
#define CHIVECRANK_SUBMISSIONS_PROGRESS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

enum class task_phase {
  /// Waits to be assigned to a worker.
  kWaiting,
  /// A run was assigned to a worker and its end is not known yet.
  kAssigned,
  kDone,
};

/// State of a task that survives a change of the shard's owner.
struct task_progress {
  task_phase phase = task_phase::kWaiting;
  /// Number of the newest run; 0 before the first.
  std::int32_t run = 0;
  /// Worker of the newest run, and the start time of its incarnation.
  std::string worker;
  std::int64_t worker_started_at_ms = 0;
  /// Number of runs that ended as failed.
  std::int32_t failures = 0;
  /// Newest run that is counted in `failures`. A run's end that a worker
  /// reports again after a takeover must not be counted twice.
  std::int32_t last_counted_failure = 0;
  /// Worker on which the newest failure happened.
  std::string last_failed_worker;
  std::string checkpoint;
  /// Run whose worker fell silent soon after it had started the task, and is
  /// not known to have survived that; 0 for none.
  std::int32_t doubted_run = 0;
  /// The worker had confirmed that it started the doubted run.
  bool doubted_run_confirmed = false;
  /// Number of workers that crashed soon after they had started the task, since
  /// a run of it last survived its start.
  std::int32_t crashes = 0;
  /// Those of them whose worker had confirmed the start. A start without an
  /// answer may not have happened.
  std::int32_t confirmed_crashes = 0;
  /// Blame for these crashes, in thousandths: 1000 for a crash that nothing but
  /// the task can have caused.
  std::int32_t crash_blame_permille = 0;

  bool operator==(const task_progress&) const = default;
};

struct task_change {
  task_ref task;
  task_progress progress;
};

/// What the next owner must know of a worker that runs depend on.
struct worker_record {
  std::string worker;
  /// Port 0 for an unknown address.
  settings::endpoint address;
  /// How long runs on the worker can live at most, counted from when the record
  /// was made; unset if the lease may be renewed.
  std::optional<std::chrono::milliseconds> lease_left;

  bool operator==(const worker_record&) const = default;
};

struct outcome_change {
  std::string submission;
  submission_outcome outcome = submission_outcome::kCompleted;
};

/// Changes that are committed atomically.
struct progress_batch {
  /// Sequence number of the batch in its scheduler, from 1.
  std::uint64_t number = 0;
  std::vector<task_change> tasks;
  std::vector<outcome_change> outcomes;
  std::vector<worker_record> workers;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_PROGRESS_H_
