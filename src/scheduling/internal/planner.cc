#include "chivecrank/scheduling/planner.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"
#include "internal/placement_round.h"
#include "internal/relief.h"
#include "internal/start_planner.h"

namespace chivecrank::scheduling {
namespace {

/// Time between two looks for services to relieve.
constexpr std::chrono::seconds kReliefRound{1};

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
      relief_(std::make_unique<relief>()) {}

planner::~planner() = default;

void planner::Restore(const shard_state& read, base::wall_time now) {
  for (const auto& [id, known] : read.tasks()) {
    if (!known.worker_id.empty())
      book_.Restore(known, now);
    queues_.Refresh(known, now, now);
  }
}

void planner::Observe(const event& recorded,
                      const shard_state& after,
                      base::wall_time now) {
  const std::string& id = TaskOf(recorded);
  if (const auto* ended = std::get_if<attempt_ended>(&recorded)) {
    if (const open_attempt* closed = book_.Find(id))
      ObserveEnd(*ended, *closed, now);
  }
  book_.Observe(recorded, after, now);
  queues_.Refresh(*after.Find(id), now, NotBefore(recorded, after, now));
}

void planner::Observe(const service_sample& sample) {
  forecast_.Observe(sample, book_.residency());
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
  const planning_context context{settings_, hooks_,  state, book_,
                                 forecast_, health_, now};
  placement_round round(context, workers);
  ApplyHolds(context, round);
  std::vector<event> planned = PlanGangStops(context, round);
  start_planner starts(context, queues_, sizes_, fleet_, round, held_);
  for (event& start : starts.Plan())
    planned.push_back(std::move(start));
  if (!settings_.mitigation_enabled || now < next_relief_)
    return planned;
  next_relief_ = now + kReliefRound;
  for (event& act : relief_->Plan(context, round, workers, sizes_))
    planned.push_back(std::move(act));
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
  sizes_.ObserveRunTime(name, closed.saved + ran);
}

base::wall_time planner::NotBefore(const event& recorded,
                                   const shard_state& after,
                                   base::wall_time now) const {
  const auto* ended = std::get_if<attempt_ended>(&recorded);
  if (ended == nullptr || ended->outcome != attempt_outcome::kCrashed)
    return now;
  std::chrono::seconds delay = settings_.backoff;
  const std::int32_t failures = after.Find(ended->task_id)->failures;
  for (std::int32_t failure = 1;
       failure < failures && delay < settings_.longest_backoff; ++failure) {
    delay *= 2;
  }
  return now + std::min(delay, settings_.longest_backoff);
}

void planner::UpdateCapacities(const std::vector<worker_view>& workers) {
  for (const worker_view& worker : workers) {
    coordination::resources& known = capacities_[worker.id];
    if (known == worker.capacity)
      continue;
    fleet_.total = Plus(Minus(fleet_.total, known), worker.capacity);
    fleet_.largest = Larger(fleet_.largest, worker.capacity);
    known = worker.capacity;
    book_.SetCapacity(worker.id, worker.capacity);
  }
}

std::vector<event> planner::PlanGangStops(const planning_context& context,
                                          placement_round& round) const {
  std::vector<event> stops;
  for (const auto& [gang, members] : book_.gangs()) {
    if (queues_.WaitingInGang(gang).empty())
      continue;
    // A gang that lost a member starts again as a whole.
    for (const auto& [task_id, attempt] : members) {
      // A start that is still under way has to arrive before its stop.
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

void planner::ApplyHolds(const planning_context& context,
                         placement_round& round) {
  std::erase_if(held_, [&](const auto& known) {
    const task* waiting = context.state.Find(known.first);
    return waiting == nullptr || !IsWaiting(waiting->state) ||
           known.second.until < context.now;
  });
  for (const auto& [task_id, held] : held_)
    round.Reserve(held.worker_id, task_id, held.size);
}

}  // namespace chivecrank::scheduling
