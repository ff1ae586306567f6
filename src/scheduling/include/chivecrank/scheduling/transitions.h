#ifndef CHIVECRANK_SCHEDULING_TRANSITIONS_H_
#define CHIVECRANK_SCHEDULING_TRANSITIONS_H_

#include <optional>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// What moves a task from one state to the next.
enum class task_trigger {
  kStart,
  kConfirm,
  kThrottle,
  kUnthrottle,
  kCheckpoint,
  kFinish,
  /// The attempt is over and left no checkpoint.
  kRequeue,
  /// The attempt is over and a checkpoint holds its progress.
  kEvict,
  /// The attempt failed and no other is allowed.
  kExhaust,
  kPark,
  kRelease,
  kCancel,
};

/// The state after `trigger`, or nothing when it can't happen in `from`. The
/// only place that says how a task moves through its life.
std::optional<task_state> NextState(task_state from, task_trigger trigger);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_TRANSITIONS_H_
