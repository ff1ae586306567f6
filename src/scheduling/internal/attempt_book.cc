#include "chivecrank/scheduling/attempt_book.h"

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

/// How late a measurement may arrive.
constexpr std::chrono::seconds kLongestLag{300};
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

attempt_book::attempt_book() : residency_(kLongestLag) {}

void attempt_book::Observe(const event& recorded,
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
    Reside(*known, now);
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

void attempt_book::Restore(const task& open, base::wall_time now) {
  Open(open, now);
  open_attempt* known = FindMutable(open.request.id);
  known->throttled = open.state == task_state::kThrottled;
  known->stopping = open.state == task_state::kCheckpointing ||
                    open.state == task_state::kCancelled;
  Reside(*known, now);
}

void attempt_book::SetCapacity(const std::string& worker_id,
                               const coordination::resources& capacity) {
  capacities_[worker_id] = capacity;
}

const open_attempt* attempt_book::Find(const std::string& task_id) const {
  const auto worker = worker_of_.find(task_id);
  return worker == worker_of_.end() ? nullptr
                                    : &workers_.at(worker->second).at(task_id);
}

const std::map<std::string, open_attempt>& attempt_book::On(
    const std::string& worker_id) const {
  return FindOrEmpty(workers_, worker_id);
}

const std::map<std::string, std::int32_t>& attempt_book::OpenInGang(
    const std::string& gang) const {
  return FindOrEmpty(gangs_, gang);
}

coordination::resources attempt_book::UsedByTeam(
    const std::string& team) const {
  return FindOrEmpty(teams_, team);
}

coordination::resources attempt_book::UsedByAccount(
    const std::string& account) const {
  return FindOrEmpty(accounts_, account);
}

double attempt_book::ShareOf(const std::string& worker_id,
                             const coordination::resources& granted,
                             bool throttled) const {
  const auto capacity = capacities_.find(worker_id);
  if (capacity == capacities_.end() || capacity->second.processors_milli <= 0)
    return 0;
  const double share = static_cast<double>(granted.processors_milli) /
                       static_cast<double>(capacity->second.processors_milli);
  return throttled ? share * kThrottledShare : share;
}

void attempt_book::Open(const task& started, base::wall_time now) {
  const std::string& id = started.request.id;
  worker_of_[id] = started.worker_id;
  open_attempt& opened = workers_[started.worker_id][id];
  opened = {started.request,
            started.attempt,
            started.worker_id,
            started.granted,
            false,
            false,
            now,
            started.saved_run_time,
            started.evictions};
  Count(opened, true);
  Reside(opened, now);
}

void attempt_book::Close(const std::string& task_id, base::wall_time now) {
  const auto worker = worker_of_.find(task_id);
  if (worker == worker_of_.end())
    return;
  auto& on_worker = workers_[worker->second];
  Count(on_worker[task_id], false);
  residency_.End(worker->second, task_id, now);
  on_worker.erase(task_id);
  worker_of_.erase(worker);
}

void attempt_book::Count(const open_attempt& counted, bool opened) {
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
  teams_[request.team] = change(teams_[request.team], counted.granted);
  accounts_[request.account] =
      change(accounts_[request.account], counted.granted);
}

void attempt_book::Reside(const open_attempt& residing, base::wall_time now) {
  if (residing.request.kind != task_kind::kBatch)
    return;
  residency_.Set(
      residing.worker_id, residing.request.id, residing.request.template_name,
      ShareOf(residing.worker_id, residing.granted, residing.throttled), now);
}

open_attempt* attempt_book::FindMutable(const std::string& task_id) {
  const auto worker = worker_of_.find(task_id);
  return worker == worker_of_.end() ? nullptr
                                    : &workers_[worker->second][task_id];
}

}  // namespace chivecrank::scheduling
