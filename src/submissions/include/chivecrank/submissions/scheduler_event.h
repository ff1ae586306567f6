#ifndef CHIVECRANK_SUBMISSIONS_SCHEDULER_EVENT_H_
#define CHIVECRANK_SUBMISSIONS_SCHEDULER_EVENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// What the scheduler decided or came to believe.
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
};

std::string_view SchedulerEventKindName(scheduler_event_kind value);

/// One decision with the inputs that led to it.
struct scheduler_event {
  scheduler_event_kind kind = scheduler_event_kind::kTaskAssigned;
  /// Unset fields are empty.
  task_ref task;
  std::string worker;
  std::int32_t run = 0;
  /// How it came out, in one word.
  std::string_view outcome;
  /// A figure that decided it: failures, percent, milliseconds.
  std::int64_t input = 0;
};

using scheduler_event_hook = std::function<void(const scheduler_event&)>;

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_SCHEDULER_EVENT_H_
