#include "chivecrank/submissions/scheduler_event.h"

#include <array>

namespace chivecrank::submissions {
namespace {

constexpr std::array<std::string_view, 20> kNames = {
    "task_assigned",    "run_ended",         "run_lost",
    "start_refused",    "stray_stopped",     "submission_ended",
    "worker_restarted", "worker_avoided",    "worker_lease_over",
    "fills_throttled",  "fill_moved",        "task_evacuated",
    "stalled_moved",    "task_suspected",    "task_cleared",
    "task_given_up",    "domain_task_moved", "worker_trusted",
    "task_left_behind", "task_waits"};

}  // namespace

std::string_view SchedulerEventKindName(scheduler_event_kind value) {
  return kNames.at(static_cast<std::size_t>(value));
}

bool OutcomeIsImage(scheduler_event_kind value) {
  switch (value) {
    case scheduler_event_kind::kBestEffortThrottled:
    case scheduler_event_kind::kBestEffortMoved:
    case scheduler_event_kind::kTaskEvacuated:
    case scheduler_event_kind::kStalledTaskMoved:
    case scheduler_event_kind::kDomainTaskMoved:
      return true;
    default:
      return false;
  }
}

}  // namespace chivecrank::submissions
