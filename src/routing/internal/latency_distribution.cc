#include "chivecrank/routing/latency_distribution.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::routing {
namespace {

/// Weight of a new sample once many have been added.
constexpr double kMinSampleWeight = 0.005;
/// Service times are skewed: about one in a thousand exceeds the mean by more
/// than this many standard deviations.
constexpr double kTailDeviations = 6;

}  // namespace

void latency_distribution::AddSample(double latency_ms) {
  ++samples_;
  const double weight = std::max(kMinSampleWeight, 1 / samples_);
  const double difference = latency_ms - mean_ms_;
  mean_ms_ += weight * difference;
  variance_ = (1 - weight) * (variance_ + weight * difference * difference);
}

double latency_distribution::TailMs() const {
  return mean_ms_ + kTailDeviations * std::sqrt(variance_);
}

}  // namespace chivecrank::routing
