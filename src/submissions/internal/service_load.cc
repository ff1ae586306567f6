#include "internal/service_load.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Variance that the rate gains in a second: loads swing within some ten
/// seconds.
constexpr double kRateDriftVariance = 0.003;
constexpr double kMostLevelVariance = 0.04;
constexpr double kMostRateVariance = 0.01;
/// Rates beyond this, per second, are taken for noise.
constexpr double kFastestRate = 0.15;

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
  // Long without readings, little is known, but not less than at the start.
  if (level_variance_ > kMostLevelVariance) {
    level_variance_ = kMostLevelVariance;
    covariance_ = 0;
    rate_ = 0;
  }
  rate_variance_ = std::min(rate_variance_, kMostRateVariance);
}

void service_load::Correct(double surprise, double variance) {
  const double level_gain = level_variance_ / variance;
  const double rate_gain = covariance_ / variance;
  level_ = std::clamp(level_ + level_gain * surprise, 0.0, 1.0);
  rate_ = std::clamp(rate_ + rate_gain * surprise, -kFastestRate, kFastestRate);
  rate_variance_ -= rate_gain * covariance_;
  covariance_ *= 1 - level_gain;
  level_variance_ *= 1 - level_gain;
}

double service_load::Worst(std::chrono::milliseconds horizon) const {
  const double then =
      level_ + rate_ * std::chrono::duration<double>(horizon).count();
  return std::clamp(std::max(level_, then), 0.0, 1.0);
}

}  // namespace chivecrank::submissions::internal
