#include "internal/preemption.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

/// Fixed cost of ending an attempt.
constexpr double kStopCostSeconds = 5.0;
/// Estimated share of the run time that is lost although a checkpoint is saved.
constexpr double kCheckpointLossRatio = 0.05;

bool IsPreemptible(const planning_context& context, const open_attempt& open) {
  if (open.request.kind != task_kind::kBatch || open.request.urgent)
    return false;
  // A stop must not overtake a start command that is not yet confirmed.
  const task_state state = context.state.Find(open.request.id)->state;
  return state == task_state::kRunning || state == task_state::kThrottled;
}

double PreemptionCost(const planning_context& context,
                      const open_attempt& open) {
  const std::chrono::duration<double> ran = context.now - open.started;
  return kStopCostSeconds +
         ran.count() * (open.request.checkpoints ? kCheckpointLossRatio : 1.0);
}

struct victim_set {
  /// Lost run time in seconds.
  double cost = 0;
  std::vector<const open_attempt*> stopped;
};

std::optional<victim_set> FindVictims(const planning_context& context,
                                      const placement_round& round,
                                      const placement_request& request,
                                      std::size_t worker) {
  const worker_view& view = round.view(worker);
  if (!context.health.IsTrusted(view.id) ||
      !IsWithin(request.granted, view.capacity)) {
    return std::nullopt;
  }
  std::vector<const open_attempt*> victims;
  coordination::resources committed =
      Plus(round.committed(worker),
           round.ReservedForOthers(worker, request.placed->request.id));
  for (const auto& [id, open] : context.attempts.AttemptsOn(view.id)) {
    if (round.IsStopping(open))
      committed = Minus(committed, open.granted);
    else if (IsPreemptible(context, open))
      victims.push_back(&open);
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [&](const open_attempt* left, const open_attempt* right) {
                     return PreemptionCost(context, *left) <
                            PreemptionCost(context, *right);
                   });
  victim_set candidate;
  for (const open_attempt* victim : victims) {
    if (Fits(request.granted, committed, view.capacity))
      break;
    committed = Minus(committed, victim->granted);
    candidate.cost += PreemptionCost(context, *victim);
    candidate.stopped.push_back(victim);
  }
  if (!Fits(request.granted, committed, view.capacity))
    return std::nullopt;
  return candidate;
}

}  // namespace

std::optional<preemption> PlanPreemption(const planning_context& context,
                                         const placement_round& round,
                                         const placement_request& request) {
  std::optional<victim_set> best;
  preemption planned;
  for (std::size_t worker = 0; worker < round.size(); ++worker) {
    auto candidate = FindVictims(context, round, request, worker);
    if (!candidate || (best && candidate->cost >= best->cost))
      continue;
    best = std::move(candidate);
    planned.worker = worker;
  }
  if (!best)
    return std::nullopt;
  for (const open_attempt* victim : best->stopped) {
    planned.stops.push_back({victim->request.id, victim->attempt,
                             context.settings.preemption_grace});
  }
  return planned;
}

}  // namespace chivecrank::scheduling
