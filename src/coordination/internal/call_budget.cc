#include "chivecrank/coordination/call_budget.h"

#include <algorithm>

namespace chivecrank::coordination {

call_budget::call_budget(call_rate rate) : rate_(rate), tokens_(rate.burst) {}

base::time_point call_budget::Reserve(base::time_point now,
                                      base::time_point latest) {
  const std::chrono::duration<double> passed = now - counted_;
  tokens_ = std::min(rate_.burst, tokens_ + passed.count() * rate_.per_second);
  counted_ = now;
  const double missing = std::max(0.0, 1 - tokens_);
  const std::chrono::duration<double> wait(missing / rate_.per_second);
  const base::time_point goes =
      now + std::chrono::duration_cast<base::duration>(wait);
  if (goes <= latest)
    tokens_ -= 1;
  return goes;
}

}  // namespace chivecrank::coordination
