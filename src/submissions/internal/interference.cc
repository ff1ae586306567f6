#include "internal/interference.h"

#include <algorithm>
#include <cmath>
#include <numbers>

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
/// Noise of one reading, as pressure.
constexpr double kReadingNoise = 0.07;
/// So many deviations below its bound a service is at no risk.
constexpr double kNoRiskBelow = -3;
/// How far ahead the load of a service is looked at when a filling task is put
/// beside it: readings are that old, and most tasks stay longer.
constexpr std::chrono::milliseconds kHorizon{500};

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

void interference::Advance(base::time_point now) {
  effects_.clear();
  const base::time_point before = advanced_to_.value_or(now);
  const double kept =
      std::exp2(-SecondsBetween(before, now) / kSlopeHalfLifeSeconds);
  advanced_to_ = std::max(before, now);
  for (auto& [images, slope] : beliefs_) {
    slope.mean = kPriorSlope + kept * (slope.mean - kPriorSlope);
    slope.variance =
        kPriorSlopeVariance + kept * (slope.variance - kPriorSlopeVariance);
  }
}

void interference::Observe(worker_entry& worker, base::time_point now) {
  Advance(now);
  shares used;
  for (const auto& [task, run] : worker.runs)
    if (run.fills && run.phase == run_phase::kRunning)
      AddTo(used, run.image,
            worker_table::ShareOfProcessors(worker, run.reading));
  for (auto& [task, run] : worker.runs)
    if (IsServing(run) && run.reading > 0)
      ObserveService(run, used, now);
}

void interference::AddTo(shares& used, image_number image, double share) {
  const auto found = std::ranges::find(used, image, &image_share::image);
  if (found == used.end())
    used.push_back({image, share});
  else
    found->share += share;
}

void interference::ObserveService(active_run& service,
                                  const shares& used,
                                  base::time_point now) {
  service_load& load = *service.load;
  load.AdvanceTo(now);
  double predicted = load.Level();
  double variance = load.Variance() + kReadingNoise * kReadingNoise;
  for (const auto& [image, share] : used) {
    const belief slope = Of(service.image, image);
    predicted += share * slope.mean;
    variance += share * share * slope.variance;
  }
  const double surprise = PressureOf(service) - predicted;
  load.Correct(surprise, variance);
  for (const auto& [image, share] : used) {
    belief slope = Of(service.image, image);
    const double gain = slope.variance * share / variance;
    slope.mean = std::max(0.0, slope.mean + gain * surprise);
    slope.variance *= 1 - gain * share;
    beliefs_[{service.image, image}] = slope;
  }
}

const interference::effects& interference::EffectsOf(
    image_number filling_image) const {
  const auto [found, is_new] = effects_.try_emplace(filling_image);
  if (!is_new)
    return found->second;
  for (const auto& [of, slope] : beliefs_) {
    if (of.second != filling_image)
      continue;
    auto& on = found->second.on;
    if (on.size() <= of.first)
      on.resize(of.first + 1, {kPriorSlope, kPriorSlopeVariance});
    on[of.first] = slope;
  }
  return found->second;
}

std::vector<interference_estimate> interference::Learned(
    const image_index& images) const {
  std::vector<interference_estimate> learned;
  learned.reserve(beliefs_.size());
  for (const auto& [of, slope] : beliefs_)
    learned.push_back({images.NameOf(of.first), images.NameOf(of.second),
                       slope.mean, slope.variance});
  return learned;
}

void interference::TakeOver(const std::vector<interference_estimate>& learned,
                            image_index& images) {
  for (const interference_estimate& known : learned)
    beliefs_.try_emplace({images.NumberOf(known.service_image),
                          images.NumberOf(known.filling_image)},
                         belief{known.slope, known.variance});
}

interference::belief interference::Of(image_number service_image,
                                      image_number filling_image) const {
  const auto found = beliefs_.find(pair(service_image, filling_image));
  if (found == beliefs_.end())
    return {kPriorSlope, kPriorSlopeVariance};
  return found->second;
}

double interference::Slope(image_number service_image,
                           image_number filling_image) const {
  return Of(service_image, filling_image).mean;
}

bool interference::IsUnknown(image_number service_image,
                             image_number filling_image) const {
  return EffectOn(service_image, filling_image).variance > kKnownSlopeVariance;
}

interference::belief interference::EffectOn(image_number service_image,
                                            image_number filling_image) const {
  const effects& known = EffectsOf(filling_image);
  if (service_image >= known.on.size())
    return {kPriorSlope, kPriorSlopeVariance};
  return known.on[service_image];
}

const occupancy& interference::OccupancyOf(worker_entry& worker) const {
  if (worker.occupied)
    return *worker.occupied;
  occupancy& made = worker.occupied.emplace();
  shares used;
  for (const auto& [task, run] : worker.runs) {
    if (run.fills) {
      AddTo(used, run.image,
            worker_table::ShareOfProcessors(worker, WantedMilli(run)));
    }
    if (run.lasting) {
      made.AddLasting(run.image);
      made.lasting_milli += run.processors_milli;
    } else {
      made.other_milli += worker_table::UsedMilli(run);
    }
    if (run.latency_target.count() > 0)
      made.services.push_back({run.image, run.load->Worst(kHorizon), 0});
  }
  for (const image_share& filling : used)
    made.filling_images.push_back(filling.image);
  for (service_pressure& service : made.services) {
    for (const image_share& filling : used)
      service.pressure += filling.share * Slope(service.image, filling.image);
    service.risk = RiskAt(service.pressure);
  }
  return made;
}

double interference::HarmOf(const occupancy& worker,
                            image_number filling_image,
                            double more) const {
  double harm = 0;
  for (const service_pressure& service : worker.services) {
    const double then =
        service.pressure + more * EffectOn(service.image, filling_image).mean;
    harm += RiskAt(then) - service.risk;
  }
  return harm;
}

double interference::RiskAt(double pressure) {
  const double deviations = (pressure - kPressureAtBound) / kReadingNoise;
  if (deviations < kNoRiskBelow)
    return 0;
  return std::erfc(-deviations / std::numbers::sqrt2) / 2;
}

}  // namespace chivecrank::submissions::internal
