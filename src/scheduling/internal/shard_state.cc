#include "chivecrank/scheduling/shard_state.h"

namespace chivecrank::scheduling {
namespace {

base::error Impossible(const std::string& task_id, const std::string& what) {
  return {base::error_kind::kCorrupt,
          "task " + task_id + " can't be " + what + " in its state",
          "inspect the shard's journal; it was written out of order"};
}

task_state StateAfter(const task& ended, attempt_outcome outcome) {
  if (ended.state == task_state::kCancelled)
    return task_state::kCancelled;
  if (outcome == attempt_outcome::kDone)
    return task_state::kDone;
  if (outcome == attempt_outcome::kFailed &&
      ended.failures >= ended.request.attempt_limit) {
    return task_state::kFailed;
  }
  return task_state::kPending;
}

}  // namespace

base::result<void> shard_state::Apply(const event& recorded) {
  return std::visit([this](const auto& known) { return Apply(known); },
                    recorded);
}

base::result<void> shard_state::Apply(const task_accepted& recorded) {
  const bool added =
      tasks_.try_emplace(recorded.request.id, task{recorded.request}).second;
  if (!added)
    return Impossible(recorded.request.id, "accepted again");
  return base::Success();
}

base::result<void> shard_state::Apply(const attempt_started& recorded) {
  const auto found = tasks_.find(recorded.task_id);
  if (found == tasks_.end())
    return Impossible(recorded.task_id, "started");
  task& started = found->second;
  if (started.state != task_state::kPending ||
      recorded.attempt != started.attempt + 1) {
    return Impossible(recorded.task_id, "started");
  }
  started.state = task_state::kRunning;
  started.attempt = recorded.attempt;
  started.worker_id = recorded.worker_id;
  return base::Success();
}

base::result<void> shard_state::Apply(const attempt_ended& recorded) {
  const auto found = tasks_.find(recorded.task_id);
  if (found == tasks_.end() || found->second.attempt != recorded.attempt)
    return Impossible(recorded.task_id, "ended");
  task& ended = found->second;
  if (recorded.outcome == attempt_outcome::kFailed)
    ++ended.failures;
  ended.state = StateAfter(ended, recorded.outcome);
  ended.worker_id.clear();
  return base::Success();
}

base::result<void> shard_state::Apply(const task_cancelled& recorded) {
  const auto found = tasks_.find(recorded.task_id);
  if (found == tasks_.end() || IsFinal(found->second.state))
    return Impossible(recorded.task_id, "cancelled");
  found->second.state = task_state::kCancelled;
  return base::Success();
}

const task* shard_state::Find(const std::string& task_id) const {
  const auto found = tasks_.find(task_id);
  return found == tasks_.end() ? nullptr : &found->second;
}

platform::resources shard_state::CommittedOn(
    const std::string& worker_id) const {
  platform::resources total;
  for (const auto& [id, known] : tasks_) {
    if (known.worker_id != worker_id)
      continue;
    total.processors_milli += known.request.demand.processors_milli;
    total.memory_mib += known.request.demand.memory_mib;
    total.accelerators += known.request.demand.accelerators;
  }
  return total;
}

}  // namespace chivecrank::scheduling
