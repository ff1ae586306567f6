#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_SERVICE_LOAD_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_SERVICE_LOAD_H_

#include <chrono>

#include "chivecrank/base/clock.h"

namespace chivecrank::submissions::internal {

/// Estimates the load that a service's own callers put on it, from 0 to 1, and
/// its trend, with a Kalman filter over level and rate. The tasks of one step
/// serve the same callers, so they share one estimate.
class service_load {
 public:
  explicit service_load(base::time_point now) : updated_(now) {}

  /// Predicts the state at `now`; an earlier time has no effect.
  void AdvanceTo(base::time_point now);
  /// Corrects the state with a measurement. `innovation` is the difference of
  /// measured and predicted utilization, and `variance` is the variance of the
  /// prediction plus that of the measurement.
  void Correct(double innovation, double variance);

  double Level() const { return level_; }
  double Variance() const { return level_variance_; }
  /// Largest predicted load between now and `horizon` later, extrapolated
  /// linearly.
  double MaxLoad(std::chrono::milliseconds horizon) const;

 private:
  double level_ = 0.45;
  /// Change of the level per second.
  double rate_ = 0;
  double level_variance_ = 0.03;
  double covariance_ = 0;
  double rate_variance_ = 0.0025;
  base::time_point updated_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_SERVICE_LOAD_H_
