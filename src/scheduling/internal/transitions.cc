#include "chivecrank/scheduling/transitions.h"

#include <array>

namespace chivecrank::scheduling {
namespace {

struct transition {
  task_state from;
  task_trigger trigger;
  task_state to;
};

using state = task_state;
using on = task_trigger;

constexpr std::array kTransitions = {
    transition{state::kPending, on::kStart, state::kStarting},
    transition{state::kPending, on::kPark, state::kParked},
    transition{state::kPending, on::kCancel, state::kCancelled},

    transition{state::kStarting, on::kConfirm, state::kRunning},
    transition{state::kStarting, on::kCheckpoint, state::kCheckpointing},
    transition{state::kStarting, on::kFinish, state::kDone},
    transition{state::kStarting, on::kRequeue, state::kPending},
    transition{state::kStarting, on::kEvict, state::kEvicted},
    transition{state::kStarting, on::kExhaust, state::kFailed},
    transition{state::kStarting, on::kCancel, state::kCancelled},

    transition{state::kRunning, on::kThrottle, state::kThrottled},
    transition{state::kRunning, on::kCheckpoint, state::kCheckpointing},
    transition{state::kRunning, on::kFinish, state::kDone},
    transition{state::kRunning, on::kRequeue, state::kPending},
    transition{state::kRunning, on::kEvict, state::kEvicted},
    transition{state::kRunning, on::kExhaust, state::kFailed},
    transition{state::kRunning, on::kCancel, state::kCancelled},

    transition{state::kThrottled, on::kUnthrottle, state::kRunning},
    transition{state::kThrottled, on::kCheckpoint, state::kCheckpointing},
    transition{state::kThrottled, on::kFinish, state::kDone},
    transition{state::kThrottled, on::kRequeue, state::kPending},
    transition{state::kThrottled, on::kEvict, state::kEvicted},
    transition{state::kThrottled, on::kExhaust, state::kFailed},
    transition{state::kThrottled, on::kCancel, state::kCancelled},

    transition{state::kCheckpointing, on::kFinish, state::kDone},
    transition{state::kCheckpointing, on::kRequeue, state::kPending},
    transition{state::kCheckpointing, on::kEvict, state::kEvicted},
    transition{state::kCheckpointing, on::kExhaust, state::kFailed},
    transition{state::kCheckpointing, on::kCancel, state::kCancelled},

    transition{state::kEvicted, on::kStart, state::kResuming},
    transition{state::kEvicted, on::kPark, state::kParked},
    transition{state::kEvicted, on::kCancel, state::kCancelled},

    transition{state::kResuming, on::kConfirm, state::kRunning},
    transition{state::kResuming, on::kCheckpoint, state::kCheckpointing},
    transition{state::kResuming, on::kFinish, state::kDone},
    transition{state::kResuming, on::kRequeue, state::kPending},
    transition{state::kResuming, on::kEvict, state::kEvicted},
    transition{state::kResuming, on::kExhaust, state::kFailed},
    transition{state::kResuming, on::kCancel, state::kCancelled},

    transition{state::kParked, on::kRelease, state::kPending},
    transition{state::kParked, on::kCancel, state::kCancelled},
};

}  // namespace

std::optional<task_state> NextState(task_state from, task_trigger trigger) {
  for (const transition& known : kTransitions) {
    if (known.from == from && known.trigger == trigger)
      return known.to;
  }
  return std::nullopt;
}

}  // namespace chivecrank::scheduling
