#ifndef CHIVECRANK_SCHEDULING_TRANSITIONS_H_
#define CHIVECRANK_SCHEDULING_TRANSITIONS_H_

#include <optional>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// Causes of a task's state transitions.
enum class task_trigger {
  kStart,
  kConfirm,
  kThrottle,
  kUnthrottle,
  kCheckpoint,
  kFinish,
  /// The attempt ended without a checkpoint.
  kRequeue,
  /// The attempt ended and a checkpoint holds its progress.
  kEvict,
  /// The attempt failed and the task has reached its attempt limit.
  kExhaust,
  kPark,
  kRelease,
  kCancel,
};

/// Returns the state after `trigger`, or nothing if it can't happen in `from`.
/// All state changes of tasks go through this function.
std::optional<task_state> NextState(task_state from, task_trigger trigger);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_TRANSITIONS_H_
