#include "internal/latency_guard.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Best-effort tasks that would run below this speed are halted.
constexpr std::int32_t kMinSpeedPercent = 10;
constexpr std::int32_t kRestoreStepPercent = 25;
/// Ratio of tail latency to target above which tasks are throttled to a quarter
/// of their current speed instead of a half.
constexpr double kSevereRatio = 1.5;
/// A best-effort task counts as a cause if it adds at least this utilization.
constexpr double kMinAddedUtilization = 0.04;

double LatencyRatio(const active_run& run) {
  if (run.latency_target.count() <= 0 || run.phase != run_phase::kRunning)
    return 0;
  return static_cast<double>(run.measurement) /
         static_cast<double>(run.latency_target.count());
}

double MaxLatencyRatio(const worker_entry& worker) {
  double worst = 0;
  for (const auto& [task, run] : worker.runs)
    worst = std::max(worst, LatencyRatio(run));
  return worst;
}

}  // namespace

void latency_guard::Update(worker_entry& worker, base::time_point now) const {
  latency_state& state = worker.latency;
  state.max_latency_ratio = MaxLatencyRatio(worker);
  if (state.max_latency_ratio >= settings_.restore_below)
    state.calm_since = now;
  if (state.max_latency_ratio <= 1)
    state.over_since.reset();
  else if (!state.over_since)
    state.over_since = now;
  if (now - state.changed_at < settings_.throttle_interval)
    return;
  if (state.max_latency_ratio > settings_.throttle_above)
    return Throttle(worker, now);
  if (now - state.calm_since >= settings_.calm_before_restore)
    Restore(worker, now);
}

void latency_guard::Throttle(worker_entry& worker, base::time_point now) const {
  const latency_state& state = worker.latency;
  const bool throttle_all =
      state.over_since &&
      now - *state.over_since >= settings_.throttle_all_after;
  const bool halt_all =
      state.over_since && now - *state.over_since >= settings_.halt_all_after;
  const std::int32_t divisor =
      state.max_latency_ratio > kSevereRatio || throttle_all ? 4 : 2;
  for (auto& [task, run] : worker.runs) {
    // With `throttle_all`, the interference of each single task is not checked,
    // because many tasks that each add little can be the cause together.
    if (!run.best_effort || run.target_percent == 0 ||
        (!throttle_all && !Interferes(worker, run)))
      continue;
    const std::int32_t slower = run.target_percent / divisor;
    run.is_run_time_sample = false;
    run.target_percent = slower < kMinSpeedPercent || halt_all ? 0 : slower;
    worker.latency.changed_at = now;
  }
}

void latency_guard::Restore(worker_entry& worker, base::time_point now) const {
  for (auto& [task, run] : worker.runs) {
    if (run.target_percent == active_run::kFullSpeed)
      continue;
    run.target_percent = std::min(run.target_percent + kRestoreStepPercent,
                                  active_run::kFullSpeed);
    worker.latency.changed_at = now;
  }
}

bool latency_guard::Interferes(const worker_entry& worker,
                               const active_run& best_effort) const {
  const double share =
      worker_table::ShareOfProcessors(worker, best_effort.processors_milli);
  return std::ranges::any_of(worker.runs, [&](const auto& entry) {
    const active_run& service = entry.second;
    return LatencyRatio(service) > settings_.throttle_above &&
           share * interference_.Slope(service.image, best_effort.image) >=
               kMinAddedUtilization;
  });
}

bool latency_guard::IsOverTarget(const worker_entry& worker) {
  return worker.latency.over_since.has_value();
}

}  // namespace chivecrank::submissions::internal
