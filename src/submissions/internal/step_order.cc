#include "internal/step_order.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace chivecrank::submissions::internal {
namespace {

/// A submission that ends later than this multiple of its allowed time is of no
/// use.
constexpr int kLateLimitFactor = 3;

/// Value of a submission relative to the mean of its queue: a fixed part plus a
/// part proportional to its work, up to a limit.
constexpr double kBaseValue = 0.3;
constexpr double kWorkValue = 0.7;
constexpr double kMaxValue = 4;

void SetUrgency(ready_step& ready, std::chrono::milliseconds since_epoch) {
  const live_occurrence& occurrence = ready.Occurrence();
  const auto due = std::max(ready.live->request.accepted_since_epoch,
                            occurrence.due_since_epoch);
  ready.deadline = due + occurrence.allowed_time;
  // Long-running steps are useful at any time and never too late.
  if (ready.Request().long_running)
    return;
  const auto earliest_end =
      since_epoch +
      occurrence.critical_paths[static_cast<std::size_t>(ready.step)];
  if (earliest_end <= ready.deadline)
    return;
  ready.kind = urgency::kLate;
  ready.deadline = due + kLateLimitFactor * occurrence.allowed_time;
  if (earliest_end > ready.deadline)
    ready.kind = urgency::kTooLate;
}

/// Sets the cost of each step relative to the mean work of its queue.
void SetCosts(std::vector<ready_step>& steps) {
  struct queue_work {
    double sum = 0;
    double count = 0;
  };
  std::map<std::string_view, queue_work> queues;
  for (const ready_step& ready : steps) {
    queue_work& queue = queues[ready.live->request.queue];
    queue.sum += ready.Occurrence().work;
    ++queue.count;
  }
  for (ready_step& ready : steps) {
    const queue_work& queue = queues[ready.live->request.queue];
    if (queue.sum <= 0)
      continue;
    const double mean = queue.sum / queue.count;
    const live_occurrence& occurrence = ready.Occurrence();
    const double relative_value =
        std::min(kMaxValue, kBaseValue + kWorkValue * occurrence.work / mean);
    ready.cost = occurrence.work_left / mean / relative_value;
  }
}

}  // namespace

void SortByUrgency(std::vector<ready_step>& steps,
                   std::chrono::milliseconds since_epoch) {
  for (ready_step& ready : steps)
    SetUrgency(ready, since_epoch);
  SetCosts(steps);
  std::ranges::sort(steps, {}, [](const ready_step& ready) {
    const bool lasts = ready.Request().long_running;
    // Long-running steps have no cost, and others are sorted by cost first.
    const double cost = lasts ? 0 : ready.cost;
    return std::tuple(ready.priority, ready.kind, lasts, cost, ready.deadline,
                      std::string_view(ready.live->request.id),
                      ready.occurrence, ready.step);
  });
}

}  // namespace chivecrank::submissions::internal
