#ifndef CHIVECRANK_COORDINATION_RATE_LIMITER_H_
#define CHIVECRANK_COORDINATION_RATE_LIMITER_H_

#include "chivecrank/base/clock.h"

namespace chivecrank::coordination {

/// Rate limit for one class of calls in one process.
struct rate_limit {
  double per_second = 100;
  /// Calls that may be sent at once after an idle time.
  double burst = 100;
};

/// Token bucket that determines when the next call may be sent. Deterministic;
/// not thread-safe.
class rate_limiter {
 public:
  explicit rate_limiter(rate_limit rate);

  /// Reserves a call and returns the time at which it may be sent, `now` or
  /// later. If that time is after `latest`, nothing is reserved.
  base::time_point Reserve(base::time_point now, base::time_point latest);

 private:
  rate_limit rate_;
  double tokens_;
  base::time_point last_refill_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_RATE_LIMITER_H_
