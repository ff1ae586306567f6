#include "internal/latency_guard.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int32_t kFullSpeed = 100;
/// Below this share filling tasks are halted.
constexpr std::int32_t kLeastSpeed = 10;
constexpr std::int32_t kRestoreStep = 25;

double WorstRatio(const worker_entry& worker) {
  double worst = 0;
  for (const auto& [task, run] : worker.runs) {
    if (run.latency_target.count() <= 0 || run.phase != run_phase::kRunning)
      continue;
    const double ratio = static_cast<double>(run.reading) /
                         static_cast<double>(run.latency_target.count());
    worst = std::max(worst, ratio);
  }
  return worst;
}

}  // namespace

void latency_guard::Update(worker_entry& worker, base::time_point now) const {
  latency_state& state = worker.latency;
  state.worst_ratio = WorstRatio(worker);
  if (state.worst_ratio >= settings_.restore_below)
    state.calm_since = now;
  if (now - state.changed_at < settings_.throttle_interval)
    return;
  if (state.worst_ratio > settings_.throttle_above)
    return Slow(state, now);
  if (now - state.calm_since >= settings_.calm_before_restore)
    Restore(state, now);
}

void latency_guard::Slow(latency_state& state, base::time_point now) const {
  if (state.fill_percent == 0)
    return;
  std::int32_t slower = state.fill_percent / 2;
  if (state.worst_ratio > 1.5)
    slower = state.fill_percent / 4;
  state.fill_percent = slower < kLeastSpeed ? 0 : slower;
  state.changed_at = now;
}

void latency_guard::Restore(latency_state& state, base::time_point now) const {
  if (state.fill_percent == kFullSpeed)
    return;
  state.fill_percent = std::min(state.fill_percent + kRestoreStep, kFullSpeed);
  state.changed_at = now;
}

bool latency_guard::IsPressed(const worker_entry& worker) {
  return worker.latency.fill_percent < kFullSpeed;
}

}  // namespace chivecrank::submissions::internal
