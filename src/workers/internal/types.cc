#include "chivecrank/workers/types.h"

#include <array>

namespace chivecrank::workers {
namespace {

struct state_name {
  attempt_state state;
  std::string_view name;
};

constexpr std::array kStateNames = {
    state_name{attempt_state::kRunning, "running"},
    state_name{attempt_state::kDone, "done"},
    state_name{attempt_state::kFailed, "failed"},
    state_name{attempt_state::kStopped, "stopped"},
};

}  // namespace

std::string_view AttemptStateName(attempt_state value) {
  for (const state_name& entry : kStateNames) {
    if (entry.state == value)
      return entry.name;
  }
  return "unknown";
}

std::optional<attempt_state> AttemptStateFromName(std::string_view name) {
  for (const state_name& entry : kStateNames) {
    if (entry.name == name)
      return entry.state;
  }
  return std::nullopt;
}

}  // namespace chivecrank::workers
