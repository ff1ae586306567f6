#include "chivecrank/scheduling/size_learner.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

/// Added to a measured peak.
constexpr std::int64_t kMarginPercent = 10;
/// Added to the peak of an attempt that reached its limit.
constexpr std::int64_t kLimitReachedGrowthPercent = 60;
/// Minimum weight of the newest run time in the mean.
constexpr double kRunTimeWeight = 0.1;
/// Completed runs before the measured run time replaces the declared one.
constexpr int kMinRuns = 3;

std::int64_t Grown(std::int64_t value, std::int64_t percent) {
  return value + value * percent / 100;
}

void LearnDimension(std::int64_t seen,
                    bool limited,
                    std::int64_t& peak,
                    std::int64_t& trial) {
  if (limited) {
    trial = std::max(trial, Grown(seen, kLimitReachedGrowthPercent));
    return;
  }
  peak = std::max(peak, Grown(seen, kMarginPercent));
  trial = 0;
}

}  // namespace

void size_learner::Observe(const usage_sample& sample) {
  template_record& known = templates_[sample.template_name];
  LearnDimension(sample.peak.processors_milli, sample.processors_limited,
                 known.peak.processors_milli, known.trial.processors_milli);
  LearnDimension(sample.peak.memory_mib, sample.memory_limited,
                 known.peak.memory_mib, known.trial.memory_mib);
  known.peak.accelerators =
      std::max(known.peak.accelerators, sample.peak.accelerators);
}

void size_learner::ObserveRunTime(const std::string& template_name,
                                  std::chrono::milliseconds run_time) {
  template_record& known = templates_[template_name];
  ++known.runs;
  const double weight = std::max(kRunTimeWeight, 1.0 / known.runs);
  const auto newest = static_cast<double>(run_time.count());
  known.mean_run_time_ms += weight * (newest - known.mean_run_time_ms);
}

coordination::resources size_learner::SizeOf(
    const task_request& request) const {
  const auto found = templates_.find(request.template_name);
  if (found == templates_.end())
    return request.demand;
  const template_record& known = found->second;
  return ElementwiseMax(request.demand,
                        ElementwiseMax(known.peak, known.trial));
}

std::chrono::milliseconds size_learner::RunTimeOf(
    const task_request& request) const {
  const auto found = templates_.find(request.template_name);
  if (found == templates_.end() || found->second.runs < kMinRuns)
    return request.run_time;
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(found->second.mean_run_time_ms));
}

}  // namespace chivecrank::scheduling
