#include "chivecrank/emulator/lasting_task_monitor.h"

#include <utility>

namespace chivecrank::emulator {

void lasting_task_monitor::Observe(std::optional<base::time_point> calm_since) {
  const std::vector<submissions::task_ref> idle = day_.IdleLastingTasks();
  std::map<submissions::task_ref, task_state> before = std::exchange(idle_, {});
  for (const submissions::task_ref& task : idle) {
    if (!day_.Workers().HasBegun(task))
      continue;
    const auto known = before.find(task);
    idle_[task] = known == before.end() ? task_state{.last_run = previous_}
                                        : known->second;
    ObserveIdle(task, calm_since);
  }
  previous_ = day_.Now();
}

void lasting_task_monitor::ObserveIdle(
    const submissions::task_ref& task,
    std::optional<base::time_point> calm_since) {
  task_state& state = idle_.at(task);
  if (!IsRunDue(task, state, calm_since)) {
    state.missing_since.reset();
    return;
  }
  const base::time_point now = day_.Now();
  if (!state.missing_since)
    state.missing_since = now;
  if (state.told || now - *state.missing_since < kPatience)
    return;
  state.told = true;
  broken_.push_back({NameOf(task), now, day_.Workers().RoomFor(task)});
}

bool lasting_task_monitor::IsRunDue(
    const submissions::task_ref& task,
    const task_state& state,
    std::optional<base::time_point> calm_since) const {
  const base::time_point now = day_.Now();
  return calm_since && now - *calm_since >= kCalmBefore &&
         now - state.last_run >= kRestartTime &&
         day_.Workers().RoomFor(task) >= kRoomNeeded;
}

}  // namespace chivecrank::emulator
