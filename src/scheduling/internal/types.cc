#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

std::string_view TaskStateName(task_state value) {
  switch (value) {
    case task_state::kPending:
      return "pending";
    case task_state::kRunning:
      return "running";
    case task_state::kDone:
      return "done";
    case task_state::kFailed:
      return "failed";
    case task_state::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool IsFinal(task_state value) {
  return value == task_state::kDone || value == task_state::kFailed ||
         value == task_state::kCancelled;
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
  }
  return "unknown";
}

}  // namespace chivecrank::scheduling
