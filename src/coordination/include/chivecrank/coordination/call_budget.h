#ifndef CHIVECRANK_COORDINATION_CALL_BUDGET_H_
#define CHIVECRANK_COORDINATION_CALL_BUDGET_H_

#include "chivecrank/base/clock.h"

namespace chivecrank::coordination {

/// Rate of the calls of one class in one process.
struct call_rate {
  double per_second = 100;
  /// Calls that may go at once after a pause.
  double burst = 100;
};

/// Decides when the next call may go. Deterministic; not synchronized.
class call_budget {
 public:
  explicit call_budget(call_rate rate);

  /// Reserves a call and returns when it may go: now or later. With a time
  /// after `latest` nothing is reserved.
  base::time_point Reserve(base::time_point now, base::time_point latest);

 private:
  call_rate rate_;
  double tokens_;
  base::time_point counted_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_CALL_BUDGET_H_
