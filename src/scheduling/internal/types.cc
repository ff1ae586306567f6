#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

std::string_view TaskStateName(task_state value) {
  switch (value) {
    case task_state::kPending:
      return "pending";
    case task_state::kStarting:
      return "starting";
    case task_state::kRunning:
      return "running";
    case task_state::kThrottled:
      return "throttled";
    case task_state::kCheckpointing:
      return "checkpointing";
    case task_state::kEvicted:
      return "evicted";
    case task_state::kResuming:
      return "resuming";
    case task_state::kDone:
      return "done";
    case task_state::kFailed:
      return "failed";
    case task_state::kCancelled:
      return "cancelled";
    case task_state::kParked:
      return "parked";
  }
  return "unknown";
}

bool IsFinal(task_state value) {
  return value == task_state::kDone || value == task_state::kFailed ||
         value == task_state::kCancelled;
}

bool IsWaiting(task_state value) {
  return value == task_state::kPending || value == task_state::kEvicted;
}

std::string_view TaskKindName(task_kind value) {
  switch (value) {
    case task_kind::kBatch:
      return "batch";
    case task_kind::kService:
      return "service";
  }
  return "unknown";
}

std::string_view AttemptOutcomeName(attempt_outcome value) {
  switch (value) {
    case attempt_outcome::kDone:
      return "done";
    case attempt_outcome::kFailed:
      return "failed";
    case attempt_outcome::kLost:
      return "lost";
    case attempt_outcome::kStopped:
      return "stopped";
    case attempt_outcome::kCrashed:
      return "crashed";
    case attempt_outcome::kOutOfMemory:
      return "outgrown";
  }
  return "unknown";
}

}  // namespace chivecrank::scheduling
