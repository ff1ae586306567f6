#include "internal/interference.h"

#include <algorithm>
#include <vector>

namespace chivecrank::submissions::internal {
namespace {

constexpr double kMilli = 1000;
constexpr std::int32_t kAtWork = 100;
/// A pair whose slope is this uncertain is still tried out.
constexpr double kKnownVariance = 0.5;

/// An image that was never seen beside a service is tried; the first seconds
/// beside it tell. Services' own load moves their latency about as much as
/// these figures allow.
constexpr scheduling::interference_settings kLearning = {
    .prior_mean = 0.12,
    .prior_variance = 4,
    .level_variance = 0.3,
    .sample_noise = 0.35,
    .half_life = std::chrono::seconds(60)};

base::wall_time AsWallTime(base::time_point time) {
  return base::wall_time(
      std::chrono::duration_cast<base::wall_time::duration>(
          time.time_since_epoch()));
}

bool IsServing(const active_run& run) {
  return run.latency_target.count() > 0 && run.phase == run_phase::kRunning &&
         run.percent >= kAtWork;
}

/// Processors, in thousandths, that a filling run takes at its speed.
double UsedMilli(const active_run& run) {
  const double speed =
      run.throttle_percent < 0 ? 1 : run.throttle_percent / 100.0;
  return static_cast<double>(run.processors_milli) * speed;
}

}  // namespace

interference::interference() : model_(kLearning) {}

void interference::Observe(const worker_entry& worker, base::time_point now) {
  std::map<std::string, double> used;
  for (const auto& [task, run] : worker.runs)
    if (run.fills && run.phase == run_phase::kRunning)
      used[run.image] += static_cast<double>(run.reading) / kMilli;
  std::vector<scheduling::exposure> exposures;
  for (const auto& [image, processors] : used)
    exposures.push_back({image, processors});
  for (const auto& [task, run] : worker.runs) {
    if (!IsServing(run) || run.reading <= 0)
      continue;
    const double quiet =
        static_cast<double>(run.latency_target.count()) / kBoundOverQuiet;
    model_.Observe(run.image, exposures,
                   static_cast<double>(run.reading) / quiet, AsWallTime(now));
  }
}

double interference::Slope(const std::string& service_image,
                           const std::string& filling_image,
                           base::time_point now) const {
  return model_.Of(service_image, filling_image, AsWallTime(now)).mean;
}

bool interference::IsUnknown(const std::string& service_image,
                             const std::string& filling_image,
                             base::time_point now) const {
  return model_.Of(service_image, filling_image, AsWallTime(now)).variance >
         kKnownVariance;
}

double interference::WorstAdded(const worker_entry& worker,
                                const std::string& filling_image,
                                std::int64_t more_milli,
                                base::time_point now) const {
  std::map<std::string, double> used;
  used[filling_image] += static_cast<double>(more_milli) / kMilli;
  for (const auto& [task, run] : worker.runs)
    if (run.fills)
      used[run.image] += UsedMilli(run) / kMilli;
  double worst = 0;
  std::map<std::string, bool> seen;
  for (const auto& [task, run] : worker.runs) {
    if (run.latency_target.count() <= 0 ||
        !seen.try_emplace(run.image, true).second)
      continue;
    double added = 0;
    for (const auto& [image, processors] : used)
      added += processors * Slope(run.image, image, now);
    worst = std::max(worst, added);
  }
  return worst;
}

}  // namespace chivecrank::submissions::internal
