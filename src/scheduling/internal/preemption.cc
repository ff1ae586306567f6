#include "internal/preemption.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

/// Cost of ending an attempt at all, in seconds of run time.
constexpr double kStopCost = 5.0;
/// Part of the run time that an attempt is held to lose when it saves.
constexpr double kLostWhenSaved = 0.05;

bool MayStop(const planning_context& context, const open_attempt& open) {
  if (open.request.kind != task_kind::kBatch || open.request.urgent)
    return false;
  // A start that is still under way has to arrive before its stop.
  const task_state state = context.state.Find(open.request.id)->state;
  return state == task_state::kRunning || state == task_state::kThrottled;
}

double CostOf(const planning_context& context, const open_attempt& open) {
  const std::chrono::duration<double> ran = context.now - open.started;
  return kStopCost +
         ran.count() * (open.request.checkpoints ? kLostWhenSaved : 1.0);
}

struct offer {
  double cost = 0;
  std::vector<const open_attempt*> stopped;
};

std::optional<offer> OfferOf(const planning_context& context,
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
  for (const auto& [id, open] : context.book.On(view.id)) {
    if (round.IsStopping(open))
      committed = Minus(committed, open.granted);
    else if (MayStop(context, open))
      victims.push_back(&open);
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [&](const open_attempt* left, const open_attempt* right) {
                     return CostOf(context, *left) < CostOf(context, *right);
                   });
  offer offered;
  for (const open_attempt* victim : victims) {
    if (Fits(request.granted, committed, view.capacity))
      break;
    committed = Minus(committed, victim->granted);
    offered.cost += CostOf(context, *victim);
    offered.stopped.push_back(victim);
  }
  if (!Fits(request.granted, committed, view.capacity))
    return std::nullopt;
  return offered;
}

}  // namespace

std::optional<preemption> PlanPreemption(const planning_context& context,
                                         const placement_round& round,
                                         const placement_request& request) {
  std::optional<offer> best;
  preemption planned;
  for (std::size_t worker = 0; worker < round.size(); ++worker) {
    auto offered = OfferOf(context, round, request, worker);
    if (!offered || (best && offered->cost >= best->cost))
      continue;
    best = std::move(offered);
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
