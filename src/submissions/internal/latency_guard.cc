#include "internal/latency_guard.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Below this share filling tasks are halted.
constexpr std::int32_t kLeastSpeed = 10;
constexpr std::int32_t kRestoreStep = 25;
/// From this ratio of latency to bound on they are slowed more at a time.
constexpr double kFarOver = 1.5;
/// A filling task adds at least this pressure to be taken for a cause.
constexpr double kNoticeable = 0.04;

double RatioOf(const active_run& run) {
  if (run.latency_target.count() <= 0 || run.phase != run_phase::kRunning)
    return 0;
  return static_cast<double>(run.reading) /
         static_cast<double>(run.latency_target.count());
}

double WorstRatio(const worker_entry& worker) {
  double worst = 0;
  for (const auto& [task, run] : worker.runs)
    worst = std::max(worst, RatioOf(run));
  return worst;
}

}  // namespace

void latency_guard::Update(worker_entry& worker, base::time_point now) const {
  latency_state& state = worker.latency;
  state.worst_ratio = WorstRatio(worker);
  if (state.worst_ratio >= settings_.restore_below)
    state.calm_since = now;
  if (state.worst_ratio <= 1)
    state.over_since.reset();
  else if (!state.over_since)
    state.over_since = now;
  if (now - state.changed_at < settings_.throttle_interval)
    return;
  if (state.worst_ratio > settings_.throttle_above)
    return Slow(worker, now);
  if (now - state.calm_since >= settings_.calm_before_restore)
    Restore(worker, now);
}

void latency_guard::Slow(worker_entry& worker, base::time_point now) const {
  const latency_state& state = worker.latency;
  const bool long_over =
      state.over_since && now - *state.over_since >= settings_.blame_all_after;
  const bool too_long =
      state.over_since && now - *state.over_since >= settings_.halt_all_after;
  const std::int32_t divisor =
      state.worst_ratio > kFarOver || long_over ? 4 : 2;
  for (auto& [task, run] : worker.runs) {
    // Many tasks that each add little are a cause together.
    if (!run.fills || run.wanted_percent == 0 ||
        (!long_over && !Disturbs(worker, run)))
      continue;
    const std::int32_t slower = run.wanted_percent / divisor;
    run.is_typical = false;
    run.wanted_percent = slower < kLeastSpeed || too_long ? 0 : slower;
    worker.latency.changed_at = now;
  }
}

void latency_guard::Restore(worker_entry& worker, base::time_point now) const {
  for (auto& [task, run] : worker.runs) {
    if (run.wanted_percent == active_run::kFullSpeed)
      continue;
    run.wanted_percent =
        std::min(run.wanted_percent + kRestoreStep, active_run::kFullSpeed);
    worker.latency.changed_at = now;
  }
}

bool latency_guard::Disturbs(const worker_entry& worker,
                             const active_run& filling) const {
  const double share =
      worker_table::ShareOfProcessors(worker, filling.processors_milli);
  return std::ranges::any_of(worker.runs, [&](const auto& entry) {
    const active_run& service = entry.second;
    return RatioOf(service) > settings_.throttle_above &&
           share * learned_.Slope(service.image, filling.image) >= kNoticeable;
  });
}

bool latency_guard::IsPressed(const worker_entry& worker) {
  return worker.latency.over_since.has_value();
}

}  // namespace chivecrank::submissions::internal
