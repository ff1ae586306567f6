#include "internal/interference_mitigation.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::scheduling {
namespace {

constexpr std::chrono::minutes kMoveWindow{1};
/// Run time of throttled work relative to unthrottled work.
constexpr double kThrottledRunTimeFactor = 4;
/// Safety margin between the expected end of throttled work and its due time.
constexpr std::chrono::minutes kDueMargin{1};

double ContributionOf(const planning_context& context,
                      const open_attempt& open,
                      const std::string& service_template,
                      bool throttled) {
  const double share =
      context.attempts.ShareOf(open.worker_id, open.granted, throttled);
  return PredictAddedInflation(context, open.worker_id, service_template,
                               open.request.template_name, share)
      .mean;
}

bool IsRunning(const planning_context& context, const open_attempt& open) {
  const task* known = context.state.Find(open.request.id);
  return known->state == task_state::kRunning ||
         known->state == task_state::kThrottled;
}

bool IsNearlyDone(const planning_context& context,
                  const open_attempt& open,
                  const size_learner& sizes) {
  const auto ran = context.now - open.started + open.saved_run_time;
  const auto left = sizes.RunTimeOf(open.request) - ran;
  return left > std::chrono::seconds::zero() &&
         left < context.settings.nearly_done_run_time;
}

bool IsMitigable(const planning_context& context,
                 const placement_round& round,
                 const open_attempt& open,
                 const size_learner& sizes) {
  return open.request.kind == task_kind::kBatch && !open.request.urgent &&
         !round.IsStopping(open) && IsRunning(context, open) &&
         !IsNearlyDone(context, open, sizes);
}

/// Whether the attempt, throttled from now on, would end after its due time.
bool WouldMissDueTime(const planning_context& context,
                      const open_attempt& open,
                      const size_learner& sizes) {
  if (open.request.due == base::wall_time{})
    return false;
  const auto ran = context.now - open.started + open.saved_run_time;
  const std::chrono::duration<double> left =
      sizes.RunTimeOf(open.request) - ran;
  const std::chrono::duration<double> time = open.request.due - context.now;
  return left * kThrottledRunTimeFactor + kDueMargin > time;
}

const service_prediction* MostDegraded(
    const std::vector<service_prediction>& services) {
  const auto worst = std::max_element(
      services.begin(), services.end(),
      [](const service_prediction& left, const service_prediction& right) {
        return left.inflation < right.inflation;
      });
  return worst == services.end() ? nullptr : &*worst;
}

bool MayRestore(const planning_context& context,
                const open_attempt& throttled,
                const std::vector<service_prediction>& services) {
  return std::all_of(
      services.begin(), services.end(), [&](const service_prediction& service) {
        const std::string& name = service.service_template;
        const double more = ContributionOf(context, throttled, name, false) -
                            ContributionOf(context, throttled, name, true);
        return service.inflation + more < context.settings.restore_threshold;
      });
}

}  // namespace

std::vector<event> interference_mitigation::Plan(
    const planning_context& context,
    placement_round& round,
    const std::vector<worker_view>& workers,
    const size_learner& sizes) {
  while (!recent_moves_.empty() &&
         recent_moves_.front() + kMoveWindow < context.now)
    recent_moves_.pop_front();
  std::erase_if(throttled_since_, [&](const auto& known) {
    const open_attempt* open = context.attempts.Find(known.first);
    return open == nullptr || !open->throttled;
  });
  std::vector<event> actions;
  for (const worker_view& worker : workers) {
    const auto acted = last_action_at_.find(worker.id);
    if (acted != last_action_at_.end() &&
        context.now < acted->second + context.settings.mitigation_interval) {
      continue;
    }
    const auto action = PlanWorker(context, round, worker.id, sizes);
    if (!action)
      continue;
    last_action_at_[worker.id] = context.now;
    actions.push_back(*action);
  }
  return actions;
}

std::optional<event> interference_mitigation::PlanWorker(
    const planning_context& context,
    placement_round& round,
    const std::string& worker_id,
    const size_learner& sizes) {
  const std::vector<service_prediction> services =
      PredictServices(context, worker_id);
  const service_prediction* worst = MostDegraded(services);
  if (worst != nullptr &&
      worst->inflation > context.settings.mitigation_threshold)
    return ReduceInterference(context, round, worker_id, *worst, sizes);
  if (auto restored = RestoreThrottled(context, worker_id, services))
    return restored;
  return MoveThrottled(context, round, worker_id, sizes);
}

std::optional<event> interference_mitigation::MoveThrottled(
    const planning_context& context,
    placement_round& round,
    const std::string& worker_id,
    const size_learner& sizes) {
  for (const auto& [id, open] : context.attempts.AttemptsOn(worker_id)) {
    const auto since = throttled_since_.find(id);
    if (since == throttled_since_.end() || round.IsStopping(open) ||
        IsNearlyDone(context, open, sizes) ||
        context.now <
            since->second + context.settings.throttled_time_before_move) {
      continue;
    }
    if (auto moved = Move(context, round, open))
      return moved;
  }
  return std::nullopt;
}

std::optional<event> interference_mitigation::ReduceInterference(
    const planning_context& context,
    placement_round& round,
    const std::string& worker_id,
    const service_prediction& degraded,
    const size_learner& sizes) {
  const open_attempt* to_throttle = nullptr;
  const open_attempt* to_move = nullptr;
  double highest_to_throttle = 0;
  double highest_to_move = 0;
  for (const auto& [id, open] : context.attempts.AttemptsOn(worker_id)) {
    if (!IsMitigable(context, round, open, sizes))
      continue;
    const bool may_throttle =
        !open.throttled && !WouldMissDueTime(context, open, sizes);
    const double added = ContributionOf(
        context, open, degraded.service_template, open.throttled);
    double& highest = may_throttle ? highest_to_throttle : highest_to_move;
    if (added <= highest)
      continue;
    highest = added;
    (may_throttle ? to_throttle : to_move) = &open;
  }
  if (to_throttle != nullptr) {
    throttled_since_.try_emplace(to_throttle->request.id, context.now);
    return attempt_throttled{to_throttle->request.id, to_throttle->attempt,
                             true};
  }
  if (to_move == nullptr)
    return std::nullopt;
  return Move(context, round, *to_move);
}

std::optional<event> interference_mitigation::RestoreThrottled(
    const planning_context& context,
    const std::string& worker_id,
    const std::vector<service_prediction>& services) {
  const open_attempt* longest = nullptr;
  base::wall_time since = base::wall_time::max();
  for (const auto& [id, open] : context.attempts.AttemptsOn(worker_id)) {
    const auto throttled = throttled_since_.find(id);
    const base::wall_time from =
        throttled == throttled_since_.end() ? open.started : throttled->second;
    if (!open.throttled || open.stopping || from >= since)
      continue;
    if (!MayRestore(context, open, services))
      continue;
    longest = &open;
    since = from;
  }
  if (longest == nullptr)
    return std::nullopt;
  return attempt_throttled{longest->request.id, longest->attempt, false};
}

std::optional<event> interference_mitigation::Move(
    const planning_context& context,
    placement_round& round,
    const open_attempt& moved) {
  if (!IsBelowMoveLimit(context) ||
      moved.evictions >= context.settings.eviction_limit ||
      !moved.request.checkpoints) {
    return std::nullopt;
  }
  const task* known = context.state.Find(moved.request.id);
  const placement_request request{known, moved.granted,
                                  context.settings.max_placement_inflation};
  const auto target = round.Choose(request);
  if (!target)
    return std::nullopt;
  round.Commit(request, *target);
  round.MarkStopping(moved.request.id);
  recent_moves_.push_back(context.now);
  return checkpoint_ordered{moved.request.id, moved.attempt,
                            context.settings.move_grace};
}

bool interference_mitigation::IsBelowMoveLimit(
    const planning_context& context) const {
  return recent_moves_.size() < context.settings.max_moves_per_minute;
}

}  // namespace chivecrank::scheduling
