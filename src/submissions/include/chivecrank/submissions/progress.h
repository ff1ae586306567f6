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
