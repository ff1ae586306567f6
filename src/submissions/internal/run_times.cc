#include "internal/run_times.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::submissions::internal {
namespace {

/// Steps whose runs count in a queue's history.
constexpr double kStepsInHistory = 200;
/// Steps that the assumed variances count for.
constexpr double kAssumedSteps = 2;
/// Variances of logarithms before anything was seen: the usual run time is
/// unknown, the estimate is taken to be about right.
constexpr double kAssumedUsualVariance = 4.0;
constexpr double kAssumedErrorVariance = 0.09;
/// Variance among the tasks of one step.
constexpr double kWithinStepVariance = 0.09;
constexpr double kLeastVariance = 0.0025;

/// Two opinions about one figure, each weighed by its certainty.
struct opinion {
  double precision = 0;
  double weighted = 0;

  void Add(double value, double variance) {
    precision += 1 / variance;
    weighted += value / variance;
  }
};

}  // namespace

void run_times::fading_sample::Add(double value, double by) {
  weight = std::min(weight + by, kStepsInHistory);
  const double share = std::min(1.0, by / weight);
  const double off = value - mean;
  mean += share * off;
  variance = (1 - share) * (variance + share * off * off);
}

double run_times::fading_sample::MeanFromZero() const {
  return mean * weight / (kAssumedSteps + weight);
}

double run_times::fading_sample::VarianceFrom(double assumed) const {
  const double mixed =
      (kAssumedSteps * assumed + weight * variance) / (kAssumedSteps + weight);
  return std::max(mixed, kLeastVariance);
}

void run_times::Observe(const std::string& queue,
                        const step_request& step,
                        measured_runs& measured,
                        std::chrono::milliseconds took) {
  if (took.count() <= 0)
    return;
  const double value = std::log(static_cast<double>(took.count()));
  ++measured.count;
  measured.sum += value;
  // A step counts once, however many tasks it has.
  const double by = 1.0 / std::max(step.task_count, 1);
  queue_history& history = queues_[queue];
  history.usual.Add(value, by);
  if (step.estimate.count() > 0)
    history.error.Add(
        value - std::log(static_cast<double>(step.estimate.count())), by);
}

std::chrono::milliseconds run_times::Expect(
    const std::string& queue,
    const step_request& step,
    const measured_runs& measured) const {
  opinion all;
  const auto found = queues_.find(queue);
  const queue_history history =
      found == queues_.end() ? queue_history() : found->second;
  if (step.estimate.count() > 0)
    all.Add(std::log(static_cast<double>(step.estimate.count())) +
                history.error.MeanFromZero(),
            history.error.VarianceFrom(kAssumedErrorVariance));
  if (history.usual.weight > 0)
    all.Add(history.usual.mean,
            history.usual.VarianceFrom(kAssumedUsualVariance));
  if (measured.count > 0)
    all.Add(measured.sum / measured.count,
            kWithinStepVariance / measured.count);
  if (all.precision == 0)
    return step.estimate;
  return std::chrono::milliseconds(
      std::llround(std::exp(all.weighted / all.precision)));
}

}  // namespace chivecrank::submissions::internal
