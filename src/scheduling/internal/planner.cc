#include "chivecrank/scheduling/planner.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"
#include "internal/interference_mitigation.h"
#include "internal/placement_round.h"
#include "internal/start_planner.h"

namespace chivecrank::scheduling {
namespace {

/// Time between two mitigation rounds.
constexpr std::chrono::seconds kMitigationRoundInterval{1};

const std::string& TaskOf(const event& recorded) {
  return std::visit(
      [](const auto& known) -> const std::string& {
        if constexpr (requires { known.request; })
          return known.request.id;
        else
          return known.task_id;
      },
      recorded);
}

}  // namespace

planner::planner(planner_settings settings, planner_hooks hooks)
    : settings_(settings),
      hooks_(std::move(hooks)),
      forecast_(settings.interference, hooks_.known_interference),
      health_(settings.health),
      mitigation_(std::make_unique<interference_mitigation>()) {}

planner::~planner() = default;

void planner::Restore(const shard_state& read, base::wall_time now) {
  for (const auto& [id, known] : read.tasks()) {
    if (!known.worker_id.empty())
      attempts_.Restore(known, now);
    queues_.Update(known, now, now);
  }
}

void planner::Observe(const event& recorded,
                      const shard_state& after,
                      base::wall_time now) {
  const std::string& id = TaskOf(recorded);
  if (const auto* ended = std::get_if<attempt_ended>(&recorded)) {
    if (const open_attempt* closed = attempts_.Find(id))
      ObserveEnd(*ended, *closed, now);
  }
  attempts_.Observe(recorded, after, now);
  queues_.Update(*after.Find(id), now, EarliestRetry(recorded, after, now));
}

void planner::Observe(const service_sample& sample) {
  forecast_.Observe(sample, attempts_.residency());
}

void planner::Observe(const usage_sample& sample) {
  if (settings_.learning_enabled)
    sizes_.Observe(sample);
}

std::vector<event> planner::Plan(const shard_state& state,
                                 const std::vector<worker_view>& workers,
                                 base::wall_time now) {
  UpdateCapacities(workers);
  queues_.ReleaseDelayed(now);
  const planning_context context{settings_, hooks_,  state, attempts_,
                                 forecast_, health_, now};
  placement_round round(context, workers);
  ApplyReservations(context, round);
  std::vector<event> planned = PlanGangStops(context, round);
  start_planner starts(context, queues_, sizes_, cluster_, round,
                       reservations_);
  for (event& start : starts.Plan())
    planned.push_back(std::move(start));
  if (!settings_.mitigation_enabled || now < next_mitigation_)
    return planned;
  next_mitigation_ = now + kMitigationRoundInterval;
  for (event& action : mitigation_->Plan(context, round, workers, sizes_))
    planned.push_back(std::move(action));
  return planned;
}

void planner::ObserveEnd(const attempt_ended& ended,
                         const open_attempt& closed,
                         base::wall_time now) {
  if (!settings_.learning_enabled)
    return;
  const std::string& name = closed.request.template_name;
  if (ended.outcome == attempt_outcome::kCrashed) {
    health_.ObserveCrash(closed.worker_id, name, ended.task_id, now);
    return;
  }
  if (ended.outcome != attempt_outcome::kDone)
    return;
  health_.ObserveDone(closed.worker_id, name);
  const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - closed.started);
  sizes_.ObserveRunTime(name, closed.saved_run_time + ran);
}

base::wall_time planner::EarliestRetry(const event& recorded,
                                       const shard_state& after,
                                       base::wall_time now) const {
  const auto* ended = std::get_if<attempt_ended>(&recorded);
  if (ended == nullptr || ended->outcome != attempt_outcome::kCrashed)
    return now;
  std::chrono::seconds delay = settings_.initial_backoff;
  const std::int32_t failures = after.Find(ended->task_id)->failures;
  for (std::int32_t failure = 1;
       failure < failures && delay < settings_.max_backoff; ++failure) {
    delay *= 2;
  }
  return now + std::min(delay, settings_.max_backoff);
}

void planner::UpdateCapacities(const std::vector<worker_view>& workers) {
  for (const worker_view& worker : workers) {
    coordination::resources& known = capacities_[worker.id];
    if (known == worker.capacity)
      continue;
    cluster_.total = Plus(Minus(cluster_.total, known), worker.capacity);
    cluster_.largest = ElementwiseMax(cluster_.largest, worker.capacity);
    known = worker.capacity;
    attempts_.SetCapacity(worker.id, worker.capacity);
  }
}

std::vector<event> planner::PlanGangStops(const planning_context& context,
                                          placement_round& round) const {
  std::vector<event> stops;
  for (const auto& [gang, members] : attempts_.gangs()) {
    if (queues_.WaitingInGang(gang).empty())
      continue;
    // A gang that lost a member is stopped and restarted as a whole.
    for (const auto& [task_id, attempt] : members) {
      // A stop must not overtake a start command that is not yet confirmed.
      const task_state known = context.state.Find(task_id)->state;
      if (known != task_state::kRunning && known != task_state::kThrottled)
        continue;
      stops.emplace_back(
          checkpoint_ordered{task_id, attempt, context.settings.move_grace});
      round.MarkStopping(task_id);
    }
  }
  return stops;
}

void planner::ApplyReservations(const planning_context& context,
                                placement_round& round) {
  std::erase_if(reservations_, [&](const auto& known) {
    const task* waiting = context.state.Find(known.first);
    return waiting == nullptr || !IsWaiting(waiting->state) ||
           known.second.expires_at < context.now;
  });
  for (const auto& [task_id, reserved] : reservations_)
    round.Reserve(reserved.worker_id, task_id, reserved.size);
}

}  // namespace chivecrank::scheduling
