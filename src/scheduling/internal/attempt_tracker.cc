#include "chivecrank/scheduling/attempt_tracker.h"

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

/// How long after its window a measurement may arrive.
constexpr std::chrono::seconds kMaxMeasurementLag{300};
/// Share of its processors that a throttled attempt may use.
constexpr double kThrottledShare = 0.25;

template <typename map_type>
const typename map_type::mapped_type& FindOrEmpty(const map_type& in,
                                                  const std::string& key) {
  static const typename map_type::mapped_type empty{};
  const auto found = in.find(key);
  return found == in.end() ? empty : found->second;
}

}  // namespace

attempt_tracker::attempt_tracker() : residency_(kMaxMeasurementLag) {}

void attempt_tracker::Observe(const event& recorded,
                              const shard_state& after,
                              base::wall_time now) {
  if (const auto* started = std::get_if<attempt_started>(&recorded)) {
    Open(*after.Find(started->task_id), now);
    return;
  }
  if (const auto* ended = std::get_if<attempt_ended>(&recorded)) {
    Close(ended->task_id, now);
    return;
  }
  if (const auto* throttled = std::get_if<attempt_throttled>(&recorded)) {
    open_attempt* known = FindMutable(throttled->task_id);
    known->throttled = throttled->throttled;
    UpdateResidency(*known, now);
    return;
  }
  if (const auto* stopping = std::get_if<checkpoint_ordered>(&recorded)) {
    open_attempt* known = FindMutable(stopping->task_id);
    known->stopping = true;
    ++known->evictions;
    return;
  }
  if (const auto* cancelled = std::get_if<task_cancelled>(&recorded)) {
    if (open_attempt* known = FindMutable(cancelled->task_id))
      known->stopping = true;
  }
}

void attempt_tracker::Restore(const task& open, base::wall_time now) {
  Open(open, now);
  open_attempt* known = FindMutable(open.request.id);
  known->throttled = open.state == task_state::kThrottled;
  known->stopping = open.state == task_state::kCheckpointing ||
                    open.state == task_state::kCancelled;
  UpdateResidency(*known, now);
}

void attempt_tracker::SetCapacity(const std::string& worker_id,
                                  const coordination::resources& capacity) {
  capacities_[worker_id] = capacity;
}

const open_attempt* attempt_tracker::Find(const std::string& task_id) const {
  const auto worker = worker_by_task_.find(task_id);
  return worker == worker_by_task_.end()
             ? nullptr
             : &attempts_by_worker_.at(worker->second).at(task_id);
}

const std::map<std::string, open_attempt>& attempt_tracker::AttemptsOn(
    const std::string& worker_id) const {
  return FindOrEmpty(attempts_by_worker_, worker_id);
}

const std::map<std::string, std::int32_t>& attempt_tracker::OpenInGang(
    const std::string& gang) const {
  return FindOrEmpty(gangs_, gang);
}

coordination::resources attempt_tracker::UsedByTeam(
    const std::string& team) const {
  return FindOrEmpty(used_by_team_, team);
}

coordination::resources attempt_tracker::UsedByAccount(
    const std::string& account) const {
  return FindOrEmpty(used_by_account_, account);
}

double attempt_tracker::ShareOf(const std::string& worker_id,
                                const coordination::resources& granted,
                                bool throttled) const {
  const auto capacity = capacities_.find(worker_id);
  if (capacity == capacities_.end() || capacity->second.processors_milli <= 0)
    return 0;
  const double share = static_cast<double>(granted.processors_milli) /
                       static_cast<double>(capacity->second.processors_milli);
  return throttled ? share * kThrottledShare : share;
}

void attempt_tracker::Open(const task& started, base::wall_time now) {
  const std::string& id = started.request.id;
  worker_by_task_[id] = started.worker_id;
  open_attempt& opened = attempts_by_worker_[started.worker_id][id];
  opened = {started.request,
            started.attempt,
            started.worker_id,
            started.granted,
            false,
            false,
            now,
            started.saved_run_time,
            started.evictions};
  UpdateUsage(opened, true);
  UpdateResidency(opened, now);
}

void attempt_tracker::Close(const std::string& task_id, base::wall_time now) {
  const auto worker = worker_by_task_.find(task_id);
  if (worker == worker_by_task_.end())
    return;
  auto& on_worker = attempts_by_worker_[worker->second];
  UpdateUsage(on_worker[task_id], false);
  residency_.End(worker->second, task_id, now);
  on_worker.erase(task_id);
  worker_by_task_.erase(worker);
}

void attempt_tracker::UpdateUsage(const open_attempt& counted, bool opened) {
  const task_request& request = counted.request;
  if (!request.gang.empty()) {
    auto& members = gangs_[request.gang];
    if (opened)
      members[request.id] = counted.attempt;
    else
      members.erase(request.id);
    if (members.empty())
      gangs_.erase(request.gang);
  }
  if (request.kind != task_kind::kBatch)
    return;
  const auto change = opened ? Plus : Minus;
  used_by_team_[request.team] =
      change(used_by_team_[request.team], counted.granted);
  used_by_account_[request.account] =
      change(used_by_account_[request.account], counted.granted);
}

void attempt_tracker::UpdateResidency(const open_attempt& updated,
                                      base::wall_time now) {
  if (updated.request.kind != task_kind::kBatch)
    return;
  residency_.Set(
      updated.worker_id, updated.request.id, updated.request.template_name,
      ShareOf(updated.worker_id, updated.granted, updated.throttled), now);
}

open_attempt* attempt_tracker::FindMutable(const std::string& task_id) {
  const auto worker = worker_by_task_.find(task_id);
  return worker == worker_by_task_.end()
             ? nullptr
             : &attempts_by_worker_[worker->second][task_id];
}

}  // namespace chivecrank::scheduling
