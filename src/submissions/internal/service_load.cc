#include "internal/service_load.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Variance that the rate gains per second: loads swing within about ten
/// seconds.
constexpr double kRateDriftVariance = 0.003;
constexpr double kMaxLevelVariance = 0.04;
constexpr double kMaxRateVariance = 0.01;
/// Larger rates, per second, are treated as noise.
constexpr double kMaxRate = 0.15;

}  // namespace

void service_load::AdvanceTo(base::time_point now) {
  const double seconds = std::chrono::duration<double>(now - updated_).count();
  if (seconds <= 0)
    return;
  updated_ = now;
  level_ = std::clamp(level_ + rate_ * seconds, 0.0, 1.0);
  const double drift = kRateDriftVariance * seconds;
  level_variance_ += seconds * (2 * covariance_ + seconds * rate_variance_ +
                                drift * seconds / 3);
  covariance_ += seconds * (rate_variance_ + drift / 2);
  rate_variance_ += drift;
  // After a long time without measurements the estimate is about as uncertain
  // as initially, but not more, and has no trend.
  if (level_variance_ > kMaxLevelVariance) {
    level_variance_ = kMaxLevelVariance;
    covariance_ = 0;
    rate_ = 0;
  }
  rate_variance_ = std::min(rate_variance_, kMaxRateVariance);
}

void service_load::Correct(double innovation, double variance) {
  const double level_gain = level_variance_ / variance;
  const double rate_gain = covariance_ / variance;
  level_ = std::clamp(level_ + level_gain * innovation, 0.0, 1.0);
  rate_ = std::clamp(rate_ + rate_gain * innovation, -kMaxRate, kMaxRate);
  rate_variance_ -= rate_gain * covariance_;
  covariance_ *= 1 - level_gain;
  level_variance_ *= 1 - level_gain;
}

double service_load::MaxLoad(std::chrono::milliseconds horizon) const {
  const double predicted =
      level_ + rate_ * std::chrono::duration<double>(horizon).count();
  return std::clamp(std::max(level_, predicted), 0.0, 1.0);
}

}  // namespace chivecrank::submissions::internal
