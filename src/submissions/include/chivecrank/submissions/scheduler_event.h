#ifndef CHIVECRANK_SUBMISSIONS_SCHEDULER_EVENT_H_
#define CHIVECRANK_SUBMISSIONS_SCHEDULER_EVENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// What the scheduler decided or detected.
enum class scheduler_event_kind {
  kTaskAssigned,
  kRunEnded,
  kRunLost,
  kStartRefused,
  kUnknownRunStopped,
  kSubmissionEnded,
  kWorkerRestarted,
  kWorkerAvoided,
  kWorkerLeaseExpired,
  kBestEffortThrottled,
  kBestEffortMoved,
  kTaskEvacuated,
  kStalledTaskMoved,
  kTaskSuspected,
  kTaskCleared,
  kTaskGivenUp,
  /// A long-running task left a drained failure domain.
  kDomainTaskMoved,
  /// A worker that failed what it started has done a run since.
  kWorkerTrusted,
  /// A draining worker fell silent before a long-running task had left it.
  kTaskLeftBehind,
  /// No worker that its rules allow takes a task for too long.
  kTaskWaits,
};

std::string_view SchedulerEventKindName(scheduler_event_kind value);
/// Whether the outcome of such an event is an image. Their number is unbounded.
bool OutcomeIsImage(scheduler_event_kind value);

/// A decision and the input that led to it.
struct scheduler_event {
  scheduler_event_kind kind = scheduler_event_kind::kTaskAssigned;
  /// Empty where it does not apply.
  task_ref task;
  std::string worker;
  std::int32_t run = 0;
  /// Outcome, reason or image, depending on the kind.
  std::string_view outcome;
  /// Number behind the decision: failures, percent or milliseconds, depending
  /// on the kind.
  std::int64_t input = 0;
};

using scheduler_event_hook = std::function<void(const scheduler_event&)>;

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_SCHEDULER_EVENT_H_
