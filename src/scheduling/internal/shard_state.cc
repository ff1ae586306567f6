#include "chivecrank/scheduling/shard_state.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

base::error InvalidTransition(const std::string& task_id,
                              const std::string& what) {
  return {base::error_kind::kCorrupt,
          "task " + task_id + " can't be " + what + " in its state",
          "inspect the shard's journal; it was written out of order"};
}

task_trigger TriggerOf(const task& ended, attempt_outcome outcome) {
  if (outcome == attempt_outcome::kDone)
    return task_trigger::kFinish;
  if (outcome == attempt_outcome::kFailed &&
      ended.failures >= ended.request.attempt_limit) {
    return task_trigger::kExhaust;
  }
  return ended.saved_run_time.count() > 0 ? task_trigger::kEvict
                                          : task_trigger::kRequeue;
}

void CountFailure(task& failed) {
  ++failed.failures;
  const auto begin = failed.failed_worker_ids.begin();
  const auto end = failed.failed_worker_ids.end();
  if (std::find(begin, end, failed.worker_id) == end)
    failed.failed_worker_ids.push_back(failed.worker_id);
}

}  // namespace

base::result<void> shard_state::Apply(const event& recorded) {
  return std::visit([this](const auto& known) { return Apply(known); },
                    recorded);
}

base::result<void> shard_state::Apply(const task_accepted& recorded) {
  const std::string& id = recorded.request.id;
  const bool added = tasks_.try_emplace(id, task{recorded.request}).second;
  if (!added)
    return InvalidTransition(id, "accepted again");
  waiting_.insert(id);
  return base::Success();
}

base::result<void> shard_state::Apply(const attempt_started& recorded) {
  task* started = FindAttempt(recorded.task_id, recorded.attempt - 1);
  if (started == nullptr || !ApplyTransition(*started, task_trigger::kStart))
    return InvalidTransition(recorded.task_id, "started");
  OpenAttempt(*started, recorded);
  return base::Success();
}

base::result<void> shard_state::Apply(const attempt_confirmed& recorded) {
  task* confirmed = FindAttempt(recorded.task_id, recorded.attempt);
  if (confirmed == nullptr ||
      !ApplyTransition(*confirmed, task_trigger::kConfirm))
    return InvalidTransition(recorded.task_id, "confirmed");
  return base::Success();
}

base::result<void> shard_state::Apply(const attempt_throttled& recorded) {
  task* throttled = FindAttempt(recorded.task_id, recorded.attempt);
  const task_trigger trigger =
      recorded.throttled ? task_trigger::kThrottle : task_trigger::kUnthrottle;
  if (throttled == nullptr || !ApplyTransition(*throttled, trigger))
    return InvalidTransition(recorded.task_id, "throttled");
  return base::Success();
}

base::result<void> shard_state::Apply(const checkpoint_ordered& recorded) {
  task* stopping = FindAttempt(recorded.task_id, recorded.attempt);
  if (stopping == nullptr ||
      !ApplyTransition(*stopping, task_trigger::kCheckpoint))
    return InvalidTransition(recorded.task_id, "checkpointed");
  ++stopping->evictions;
  return base::Success();
}

base::result<void> shard_state::Apply(const attempt_ended& recorded) {
  task* ended = FindAttempt(recorded.task_id, recorded.attempt);
  if (ended == nullptr || ended->worker_id.empty())
    return InvalidTransition(recorded.task_id, "ended");
  if (recorded.outcome == attempt_outcome::kFailed ||
      recorded.outcome == attempt_outcome::kCrashed) {
    CountFailure(*ended);
  }
  if (recorded.outcome == attempt_outcome::kOutOfMemory)
    ++ended->out_of_memory_count;
  ended->saved_run_time =
      std::max(ended->saved_run_time, recorded.saved_run_time);
  CloseAttempt(*ended);
  if (IsFinal(ended->state))
    return base::Success();
  if (!ApplyTransition(*ended, TriggerOf(*ended, recorded.outcome)))
    return InvalidTransition(recorded.task_id, "ended");
  return base::Success();
}

base::result<void> shard_state::Apply(const task_parked& recorded) {
  const auto found = tasks_.find(recorded.task_id);
  if (found == tasks_.end() ||
      !ApplyTransition(found->second, task_trigger::kPark))
    return InvalidTransition(recorded.task_id, "parked");
  found->second.parked_reason = recorded.reason;
  return base::Success();
}

base::result<void> shard_state::Apply(const task_released& recorded) {
  const auto found = tasks_.find(recorded.task_id);
  if (found == tasks_.end() ||
      !ApplyTransition(found->second, task_trigger::kRelease))
    return InvalidTransition(recorded.task_id, "released");
  found->second.failures = 0;
  found->second.failed_worker_ids.clear();
  found->second.out_of_memory_count = 0;
  found->second.parked_reason.clear();
  return base::Success();
}

base::result<void> shard_state::Apply(const task_cancelled& recorded) {
  const auto found = tasks_.find(recorded.task_id);
  if (found == tasks_.end() ||
      !ApplyTransition(found->second, task_trigger::kCancel))
    return InvalidTransition(recorded.task_id, "cancelled");
  return base::Success();
}

const task* shard_state::Find(const std::string& task_id) const {
  const auto found = tasks_.find(task_id);
  return found == tasks_.end() ? nullptr : &found->second;
}

coordination::resources shard_state::CommittedOn(
    const std::string& worker_id) const {
  const auto found = workers_.find(worker_id);
  return found == workers_.end() ? coordination::resources{}
                                 : found->second.committed;
}

const std::set<std::string>& shard_state::OpenTasksOn(
    const std::string& worker_id) const {
  static const std::set<std::string> none;
  const auto found = workers_.find(worker_id);
  return found == workers_.end() ? none : found->second.open;
}

std::int64_t shard_state::FinalTasksInGang(const std::string& gang) const {
  const auto found = final_tasks_in_gang_.find(gang);
  return found == final_tasks_in_gang_.end() ? 0 : found->second;
}

task* shard_state::FindAttempt(const std::string& task_id,
                               std::int32_t attempt) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end() || found->second.attempt != attempt)
    return nullptr;
  return &found->second;
}

bool shard_state::ApplyTransition(task& moved, task_trigger trigger) {
  const auto next = NextState(moved.state, trigger);
  if (!next)
    return false;
  moved.state = *next;
  if (IsFinal(moved.state) && !moved.request.gang.empty())
    ++final_tasks_in_gang_[moved.request.gang];
  if (IsWaiting(moved.state))
    waiting_.insert(moved.request.id);
  else
    waiting_.erase(moved.request.id);
  return true;
}

void shard_state::OpenAttempt(task& started, const attempt_started& recorded) {
  started.attempt = recorded.attempt;
  started.worker_id = recorded.worker_id;
  started.granted = recorded.granted.value_or(started.request.demand);
  worker_use& use = workers_[recorded.worker_id];
  use.committed = Plus(use.committed, started.granted);
  use.open.insert(recorded.task_id);
}

void shard_state::CloseAttempt(task& ended) {
  worker_use& use = workers_[ended.worker_id];
  use.committed = Minus(use.committed, ended.granted);
  use.open.erase(ended.request.id);
  ended.worker_id.clear();
  ended.granted = {};
}

}  // namespace chivecrank::scheduling
