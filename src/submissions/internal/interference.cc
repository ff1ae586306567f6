#include "internal/interference.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int64_t kWholePercent = 100;
constexpr std::int32_t kAtWork = 100;

/// Belief about a pair that was never seen: pressure per worker's processors.
constexpr double kPriorSlope = 0.5;
constexpr double kPriorSlopeVariance = 0.65 * 0.65;
/// A pair whose slope is more uncertain than this is still tried out.
constexpr double kKnownSlopeVariance = 0.35 * 0.35;
/// Time in which what was learned of a pair fades to a half.
constexpr double kSlopeHalfLifeSeconds = 40;
/// Variance that a service's own load gains in a second.
constexpr double kLoadDriftVariance = 0.08 * 0.08;
constexpr double kMostLoadVariance = 0.2 * 0.2;
/// Noise of one reading, as pressure.
constexpr double kReadingNoise = 0.05;

double SecondsBetween(base::time_point from, base::time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

bool IsServing(const active_run& run) {
  return run.latency_target.count() > 0 && run.phase == run_phase::kRunning &&
         run.percent >= kAtWork;
}

double PressureOf(const active_run& service) {
  const double idle = static_cast<double>(service.latency_target.count()) *
                      (1 - interference::kPressureAtBound);
  return 1 - idle / std::max(static_cast<double>(service.reading), idle);
}

/// What a filling run takes at the speed that is wanted.
std::int64_t WantedMilli(const active_run& run) {
  return run.processors_milli * run.wanted_percent / kWholePercent;
}

}  // namespace

void interference::Observe(worker_entry& worker, base::time_point now) {
  amounts used;
  for (const auto& [task, run] : worker.runs)
    if (run.fills && run.phase == run_phase::kRunning)
      used[run.image] += worker_table::ShareOfProcessors(worker, run.reading);
  for (auto& [task, run] : worker.runs)
    if (IsServing(run) && run.reading > 0)
      ObserveService(run, used, now);
}

void interference::ObserveService(active_run& service,
                                  const amounts& used,
                                  base::time_point now) {
  load_belief& load = service.load;
  load.variance = std::min(
      kMostLoadVariance,
      load.variance + kLoadDriftVariance * SecondsBetween(load.updated, now));
  load.updated = now;
  double predicted = load.mean;
  double variance = load.variance + kReadingNoise * kReadingNoise;
  for (const auto& [image, amount] : used) {
    const belief slope = Of(service.image, image, now);
    predicted += amount * slope.mean;
    variance += amount * amount * slope.variance;
  }
  const double surprise = PressureOf(service) - predicted;
  load.mean += load.variance / variance * surprise;
  load.mean = std::clamp(load.mean, 0.0, 1.0);
  load.variance *= 1 - load.variance / variance;
  for (const auto& [image, amount] : used) {
    belief slope = Of(service.image, image, now);
    const double gain = slope.variance * amount / variance;
    slope.mean = std::max(0.0, slope.mean + gain * surprise);
    slope.variance *= 1 - gain * amount;
    beliefs_[{service.image, image}] = slope;
  }
}

interference::belief interference::Of(const std::string& service_image,
                                      const std::string& filling_image,
                                      base::time_point now) const {
  const auto found = beliefs_.find({service_image, filling_image});
  if (found == beliefs_.end())
    return {kPriorSlope, kPriorSlopeVariance, now};
  belief current = found->second;
  const double kept =
      std::exp2(-SecondsBetween(current.updated, now) / kSlopeHalfLifeSeconds);
  current.mean = kPriorSlope + kept * (current.mean - kPriorSlope);
  current.variance =
      kPriorSlopeVariance + kept * (current.variance - kPriorSlopeVariance);
  current.updated = now;
  return current;
}

double interference::Slope(const std::string& service_image,
                           const std::string& filling_image,
                           base::time_point now) const {
  return Of(service_image, filling_image, now).mean;
}

bool interference::IsUnknown(const std::string& service_image,
                             const std::string& filling_image,
                             base::time_point now) const {
  return Of(service_image, filling_image, now).variance > kKnownSlopeVariance;
}

interference::forecast interference::Forecast(const worker_entry& worker,
                                              const std::string& filling_image,
                                              std::int64_t more_milli,
                                              base::time_point now) const {
  amounts used;
  for (const auto& [task, run] : worker.runs)
    if (run.fills)
      used[run.image] +=
          worker_table::ShareOfProcessors(worker, WantedMilli(run));
  const double more = worker_table::ShareOfProcessors(worker, more_milli);
  std::map<std::string, double> pressure_of;
  forecast result;
  for (const auto& [task, run] : worker.runs) {
    if (run.latency_target.count() <= 0)
      continue;
    auto [known, is_new] = pressure_of.try_emplace(run.image, 0);
    if (is_new)
      for (const auto& [image, amount] : used)
        known->second += amount * Slope(run.image, image, now);
    const double added = more * Slope(run.image, filling_image, now);
    result.added = std::max(result.added, added);
    result.worst =
        std::max(result.worst, run.load.mean + known->second + added);
  }
  return result;
}

}  // namespace chivecrank::submissions::internal
