#include "internal/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::submissions::internal {
namespace {

/// Limit of the number of steps that count in a queue's history.
constexpr double kMaxHistorySteps = 200;
/// Number of steps that the prior variances count for.
constexpr double kPriorSteps = 2;
/// Prior variances of the logarithms: the typical run time is unknown, and the
/// declared estimate is assumed to be about right.
constexpr double kPriorRunTimeVariance = 4.0;
constexpr double kPriorErrorVariance = 0.09;
/// Variance among the tasks of one step.
constexpr double kWithinStepVariance = 0.09;
constexpr double kMinVariance = 0.0025;

/// Combines values weighted by their precision (inverse variance).
struct precision_weighted_mean {
  double precision = 0;
  double weighted = 0;

  void Add(double value, double variance) {
    precision += 1 / variance;
    weighted += value / variance;
  }
};

}  // namespace

void run_time_estimator::decaying_stats::Add(double value,
                                             double sample_weight) {
  weight = std::min(weight + sample_weight, kMaxHistorySteps);
  const double share = std::min(1.0, sample_weight / weight);
  const double deviation = value - mean;
  mean += share * deviation;
  variance = (1 - share) * (variance + share * deviation * deviation);
}

double run_time_estimator::decaying_stats::ShrunkMean() const {
  return mean * weight / (kPriorSteps + weight);
}

double run_time_estimator::decaying_stats::SmoothedVariance(
    double prior) const {
  const double smoothed =
      (kPriorSteps * prior + weight * variance) / (kPriorSteps + weight);
  return std::max(smoothed, kMinVariance);
}

void run_time_estimator::Observe(const std::string& queue,
                                 const step_request& step,
                                 measured_runs& measured,
                                 std::chrono::milliseconds run_time) {
  if (run_time.count() <= 0)
    return;
  const double value = std::log(static_cast<double>(run_time.count()));
  ++measured.count;
  measured.log_sum += value;
  // Each step counts once, regardless of its number of tasks.
  const double sample_weight = 1.0 / std::max(step.task_count, 1);
  queue_history& history = queues_[queue];
  history.run_time.Add(value, sample_weight);
  if (step.estimate.count() > 0)
    history.estimate_error.Add(
        value - std::log(static_cast<double>(step.estimate.count())),
        sample_weight);
}

std::chrono::milliseconds run_time_estimator::Expect(
    const std::string& queue,
    const step_request& step,
    const measured_runs& measured) const {
  precision_weighted_mean combined;
  const auto found = queues_.find(queue);
  const queue_history history =
      found == queues_.end() ? queue_history() : found->second;
  if (step.estimate.count() > 0)
    combined.Add(std::log(static_cast<double>(step.estimate.count())) +
                     history.estimate_error.ShrunkMean(),
                 history.estimate_error.SmoothedVariance(kPriorErrorVariance));
  if (history.run_time.weight > 0)
    combined.Add(history.run_time.mean,
                 history.run_time.SmoothedVariance(kPriorRunTimeVariance));
  if (measured.count > 0)
    combined.Add(measured.log_sum / measured.count,
                 kWithinStepVariance / measured.count);
  if (combined.precision == 0)
    return step.estimate;
  return std::chrono::milliseconds(
      std::llround(std::exp(combined.weighted / combined.precision)));
}

}  // namespace chivecrank::submissions::internal
