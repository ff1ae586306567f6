#include "chivecrank/routing/latency_spread.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::routing {
namespace {

constexpr double kWeight = 0.005;
/// Service times are skewed: a thousandth lies beyond this many deviations.
constexpr double kDeviations = 6;

}  // namespace

void latency_spread::Learn(double latency_ms) {
  ++samples_;
  const double weight = std::max(kWeight, 1 / samples_);
  const double difference = latency_ms - mean_ms_;
  mean_ms_ += weight * difference;
  variance_ = (1 - weight) * (variance_ + weight * difference * difference);
}

double latency_spread::HighMs() const {
  return mean_ms_ + kDeviations * std::sqrt(variance_);
}

}  // namespace chivecrank::routing
