#include "internal/relief.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::scheduling {
namespace {

constexpr std::chrono::minutes kMoveWindow{1};

double ContributionOf(const planning_context& context,
                      const open_attempt& open,
                      const std::string& service_template,
                      bool throttled) {
  const double share =
      context.book.ShareOf(open.worker_id, open.granted, throttled);
  return Contribution(context, open.worker_id, service_template,
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
  const auto ran = context.now - open.started + open.saved;
  const auto left = sizes.RunTimeOf(open.request) - ran;
  return left > std::chrono::seconds::zero() &&
         left < context.settings.nearly_done;
}

const service_outlook* WorstOf(const std::vector<service_outlook>& services) {
  const auto worst = std::max_element(
      services.begin(), services.end(),
      [](const service_outlook& left, const service_outlook& right) {
        return left.inflation < right.inflation;
      });
  return worst == services.end() ? nullptr : &*worst;
}

bool MayRestore(const planning_context& context,
                const open_attempt& throttled,
                const std::vector<service_outlook>& services) {
  return std::all_of(
      services.begin(), services.end(), [&](const service_outlook& service) {
        const std::string& name = service.service_template;
        const double more = ContributionOf(context, throttled, name, false) -
                            ContributionOf(context, throttled, name, true);
        return service.inflation + more < context.settings.restore_below;
      });
}

}  // namespace

std::vector<event> relief::Plan(const planning_context& context,
                                placement_round& round,
                                const std::vector<worker_view>& workers,
                                const size_learner& sizes) {
  while (!moves_.empty() && moves_.front() + kMoveWindow < context.now)
    moves_.pop_front();
  std::erase_if(throttled_since_, [&](const auto& known) {
    const open_attempt* open = context.book.Find(known.first);
    return open == nullptr || !open->throttled;
  });
  std::vector<event> acts;
  for (const worker_view& worker : workers) {
    const auto acted = acted_.find(worker.id);
    if (acted != acted_.end() &&
        context.now < acted->second + context.settings.relief_interval) {
      continue;
    }
    const auto act = PlanWorker(context, round, worker.id, sizes);
    if (!act)
      continue;
    acted_[worker.id] = context.now;
    acts.push_back(*act);
  }
  return acts;
}

std::optional<event> relief::PlanWorker(const planning_context& context,
                                        placement_round& round,
                                        const std::string& worker_id,
                                        const size_learner& sizes) {
  const std::vector<service_outlook> services = OutlookOf(context, worker_id);
  const service_outlook* worst = WorstOf(services);
  if (worst != nullptr && worst->inflation > context.settings.relieve_above)
    return Relieve(context, round, worker_id, *worst, sizes);
  if (auto restored = Restore(context, worker_id, services))
    return restored;
  return MoveStalled(context, round, worker_id, sizes);
}

std::optional<event> relief::MoveStalled(const planning_context& context,
                                         placement_round& round,
                                         const std::string& worker_id,
                                         const size_learner& sizes) {
  for (const auto& [id, open] : context.book.On(worker_id)) {
    const auto since = throttled_since_.find(id);
    if (since == throttled_since_.end() || round.IsStopping(open) ||
        IsNearlyDone(context, open, sizes) ||
        context.now < since->second + context.settings.throttled_before_move) {
      continue;
    }
    if (auto moved = Move(context, round, open))
      return moved;
  }
  return std::nullopt;
}

std::optional<event> relief::Relieve(const planning_context& context,
                                     placement_round& round,
                                     const std::string& worker_id,
                                     const service_outlook& suffering,
                                     const size_learner& sizes) {
  const open_attempt* worst = nullptr;
  const open_attempt* worst_throttled = nullptr;
  double highest = 0;
  double highest_throttled = 0;
  for (const auto& [id, open] : context.book.On(worker_id)) {
    if (open.request.kind != task_kind::kBatch || open.request.urgent ||
        round.IsStopping(open) || !IsRunning(context, open) ||
        IsNearlyDone(context, open, sizes)) {
      continue;
    }
    const double added = ContributionOf(
        context, open, suffering.service_template, open.throttled);
    if (!open.throttled && added > highest) {
      highest = added;
      worst = &open;
    }
    if (open.throttled && added > highest_throttled) {
      highest_throttled = added;
      worst_throttled = &open;
    }
  }
  if (worst != nullptr) {
    throttled_since_.try_emplace(worst->request.id, context.now);
    return attempt_throttled{worst->request.id, worst->attempt, true};
  }
  if (worst_throttled == nullptr)
    return std::nullopt;
  return Move(context, round, *worst_throttled);
}

std::optional<event> relief::Restore(
    const planning_context& context,
    const std::string& worker_id,
    const std::vector<service_outlook>& services) {
  const open_attempt* longest = nullptr;
  base::wall_time since = base::wall_time::max();
  for (const auto& [id, open] : context.book.On(worker_id)) {
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

std::optional<event> relief::Move(const planning_context& context,
                                  placement_round& round,
                                  const open_attempt& moved) {
  if (!MayMove(context) || moved.evictions >= context.settings.eviction_limit ||
      !moved.request.checkpoints) {
    return std::nullopt;
  }
  const task* known = context.state.Find(moved.request.id);
  const placement_request request{known, moved.granted,
                                  context.settings.place_below};
  const auto target = round.Choose(request);
  if (!target)
    return std::nullopt;
  round.Commit(request, *target);
  round.MarkStopping(moved.request.id);
  moves_.push_back(context.now);
  return checkpoint_ordered{moved.request.id, moved.attempt,
                            context.settings.move_grace};
}

bool relief::MayMove(const planning_context& context) const {
  return moves_.size() < context.settings.moves_per_minute;
}

}  // namespace chivecrank::scheduling
