#include "chivecrank/coordination/rate_limiter.h"

#include <algorithm>

namespace chivecrank::coordination {

rate_limiter::rate_limiter(rate_limit rate)
    : rate_(rate), tokens_(rate.burst) {}

base::time_point rate_limiter::Reserve(base::time_point now,
                                       base::time_point latest) {
  const std::chrono::duration<double> elapsed = now - last_refill_;
  tokens_ = std::min(rate_.burst, tokens_ + elapsed.count() * rate_.per_second);
  last_refill_ = now;
  const double missing_tokens = std::max(0.0, 1 - tokens_);
  const std::chrono::duration<double> wait(missing_tokens / rate_.per_second);
  const base::time_point send_at =
      now + std::chrono::duration_cast<base::duration>(wait);
  if (send_at <= latest)
    tokens_ -= 1;
  return send_at;
}

}  // namespace chivecrank::coordination
