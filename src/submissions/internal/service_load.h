#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_SERVICE_LOAD_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_SERVICE_LOAD_H_

#include <chrono>

#include "chivecrank/base/clock.h"

namespace chivecrank::submissions::internal {

/// What is believed of the load that its own callers put on a service, from 0
/// to 1, and of its trend: a Kalman filter over level and rate. The tasks of
/// one step serve the same callers, so they share one.
class service_load {
 public:
  explicit service_load(base::time_point now) : updated_(now) {}

  /// Brings the belief forward; an earlier time changes nothing.
  void AdvanceTo(base::time_point now);
  /// A reading of the service's pressure was `surprise` above what was
  /// expected, with `variance` of that expectation and the reading's noise.
  void Correct(double surprise, double variance);

  double Level() const { return level_; }
  double Variance() const { return level_variance_; }
  /// The largest load between now and `horizon` later, as the trend goes.
  double Worst(std::chrono::milliseconds horizon) const;

 private:
  double level_ = 0.45;
  /// Change of the level in a second.
  double rate_ = 0;
  double level_variance_ = 0.03;
  double covariance_ = 0;
  double rate_variance_ = 0.0025;
  base::time_point updated_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_SERVICE_LOAD_H_
