#include "internal/interference_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int64_t kFullPercent = 100;
constexpr std::int32_t kServingPercent = 100;

/// Prior slope of a pair without measurements: utilization added per share of
/// the worker's processors.
constexpr double kPriorSlope = 0.5;
constexpr double kPriorSlopeVariance = 0.65 * 0.65;
/// A pair with a larger variance of its slope is still tried out.
constexpr double kMaxCertainSlopeVariance = 0.35 * 0.35;
/// Time in which the differences of a pair's slope and variance from their
/// priors halve if there are no measurements.
constexpr double kSlopeHalfLifeSeconds = 40;
/// Standard deviation of one measurement, as utilization.
constexpr double kMeasurementNoise = 0.07;
/// Distance of a service's utilization from the utilization at its latency
/// target, in standard deviations of a measurement; negative is below the
/// target. A service further below than this counts as being at no risk.
constexpr double kNoRiskDeviations = -3;
/// How far ahead the load of a service is predicted when a best-effort task is
/// placed beside it. Measurements are half a second old, so the prediction
/// must cover at least this time, and most tasks run for longer than this.
constexpr std::chrono::milliseconds kLoadHorizon{500};

double SecondsBetween(base::time_point from, base::time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

bool IsServing(const active_run& run) {
  return run.latency_target.count() > 0 && run.phase == run_phase::kRunning &&
         run.percent >= kServingPercent;
}

double UtilizationOf(const active_run& service) {
  const double idle = static_cast<double>(service.latency_target.count()) *
                      (1 - interference_model::kUtilizationAtTarget);
  return 1 - idle / std::max(static_cast<double>(service.measurement), idle);
}

/// Processors, in millicores, that a run uses at its target speed.
std::int64_t TargetMilli(const active_run& run) {
  return run.processors_milli * run.target_percent / kFullPercent;
}

}  // namespace

void interference_model::Advance(base::time_point now) {
  effects_cache_.clear();
  const base::time_point previous = advanced_to_.value_or(now);
  const double retained =
      std::exp2(-SecondsBetween(previous, now) / kSlopeHalfLifeSeconds);
  advanced_to_ = std::max(previous, now);
  for (auto& [images, slope] : estimates_) {
    slope.mean = kPriorSlope + retained * (slope.mean - kPriorSlope);
    slope.variance =
        kPriorSlopeVariance + retained * (slope.variance - kPriorSlopeVariance);
  }
}

void interference_model::Observe(worker_entry& worker, base::time_point now) {
  Advance(now);
  shares used;
  for (const auto& [task, run] : worker.runs)
    if (run.best_effort && run.phase == run_phase::kRunning)
      AddTo(used, run.image,
            worker_table::ShareOfProcessors(worker, run.measurement));
  for (auto& [task, run] : worker.runs)
    if (IsServing(run) && run.measurement > 0)
      ObserveService(run, used, now);
}

void interference_model::AddTo(shares& used, image_number image, double share) {
  const auto found = std::ranges::find(used, image, &image_share::image);
  if (found == used.end())
    used.push_back({image, share});
  else
    found->share += share;
}

void interference_model::ObserveService(active_run& service,
                                        const shares& used,
                                        base::time_point now) {
  service_load& load = *service.load;
  load.AdvanceTo(now);
  double predicted = load.Level();
  double variance = load.Variance() + kMeasurementNoise * kMeasurementNoise;
  for (const auto& [image, share] : used) {
    const estimate slope = EstimateOf(service.image, image);
    predicted += share * slope.mean;
    variance += share * share * slope.variance;
  }
  const double innovation = UtilizationOf(service) - predicted;
  load.Correct(innovation, variance);
  for (const auto& [image, share] : used) {
    estimate slope = EstimateOf(service.image, image);
    const double gain = slope.variance * share / variance;
    slope.mean = std::max(0.0, slope.mean + gain * innovation);
    slope.variance *= 1 - gain * share;
    estimates_[{service.image, image}] = slope;
  }
}

const interference_model::effects& interference_model::EffectsOf(
    image_number best_effort_image) const {
  const auto [found, is_new] = effects_cache_.try_emplace(best_effort_image);
  if (!is_new)
    return found->second;
  for (const auto& [images, slope] : estimates_) {
    if (images.second != best_effort_image)
      continue;
    auto& by_service = found->second.by_service_image;
    if (by_service.size() <= images.first)
      by_service.resize(images.first + 1, {kPriorSlope, kPriorSlopeVariance});
    by_service[images.first] = slope;
  }
  return found->second;
}

std::vector<interference_estimate> interference_model::Estimates(
    const image_index& images) const {
  std::vector<interference_estimate> estimates;
  estimates.reserve(estimates_.size());
  for (const auto& [image_pair, slope] : estimates_)
    estimates.push_back({images.NameOf(image_pair.first),
                         images.NameOf(image_pair.second), slope.mean,
                         slope.variance});
  return estimates;
}

void interference_model::Import(
    const std::vector<interference_estimate>& estimates,
    image_index& images) {
  for (const interference_estimate& known : estimates)
    estimates_.try_emplace({images.NumberOf(known.service_image),
                            images.NumberOf(known.best_effort_image)},
                           estimate{known.slope, known.variance});
}

interference_model::estimate interference_model::EstimateOf(
    image_number service_image,
    image_number best_effort_image) const {
  const auto found = estimates_.find(pair(service_image, best_effort_image));
  if (found == estimates_.end())
    return {kPriorSlope, kPriorSlopeVariance};
  return found->second;
}

double interference_model::Slope(image_number service_image,
                                 image_number best_effort_image) const {
  return EstimateOf(service_image, best_effort_image).mean;
}

bool interference_model::IsUncertain(image_number service_image,
                                     image_number best_effort_image) const {
  return CachedEstimateOf(service_image, best_effort_image).variance >
         kMaxCertainSlopeVariance;
}

interference_model::estimate interference_model::CachedEstimateOf(
    image_number service_image,
    image_number best_effort_image) const {
  const effects& known = EffectsOf(best_effort_image);
  if (service_image >= known.by_service_image.size())
    return {kPriorSlope, kPriorSlopeVariance};
  return known.by_service_image[service_image];
}

const occupancy& interference_model::OccupancyOf(worker_entry& worker) const {
  if (worker.cached_occupancy)
    return *worker.cached_occupancy;
  occupancy& totals = worker.cached_occupancy.emplace();
  shares used;
  for (const auto& [task, run] : worker.runs) {
    if (run.best_effort) {
      AddTo(used, run.image,
            worker_table::ShareOfProcessors(worker, TargetMilli(run)));
    }
    if (run.long_running) {
      totals.AddLongRunning(run.image);
      totals.long_running_milli += run.processors_milli;
      totals.long_running_reserved =
          scheduling::Plus(totals.long_running_reserved, run.reserved);
    } else {
      totals.other_milli += worker_table::UsedMilli(run);
    }
    if (run.latency_target.count() > 0)
      totals.services.push_back(
          {run.image, run.load->MaxLoad(kLoadHorizon), 0});
  }
  for (const image_share& best_effort : used)
    totals.best_effort_images.push_back(best_effort.image);
  for (service_utilization& service : totals.services) {
    for (const image_share& best_effort : used)
      service.utilization +=
          best_effort.share * Slope(service.image, best_effort.image);
    service.risk = RiskAt(service.utilization);
  }
  return totals;
}

double interference_model::AddedRisk(const occupancy& worker,
                                     image_number best_effort_image,
                                     double added_share) const {
  double added_risk = 0;
  for (const service_utilization& service : worker.services) {
    const double new_utilization =
        service.utilization +
        added_share * CachedEstimateOf(service.image, best_effort_image).mean;
    added_risk += RiskAt(new_utilization) - service.risk;
  }
  return added_risk;
}

double interference_model::RiskAt(double utilization) {
  const double deviations =
      (utilization - kUtilizationAtTarget) / kMeasurementNoise;
  if (deviations < kNoRiskDeviations)
    return 0;
  return std::erfc(-deviations / std::numbers::sqrt2) / 2;
}

}  // namespace chivecrank::submissions::internal
