#ifndef CHIVECRANK_ADMISSION_DRAIN_RATE_H_
#define CHIVECRANK_ADMISSION_DRAIN_RATE_H_

#include <cstdint>

#include "chivecrank/admission/types.h"
#include "chivecrank/base/clock.h"

namespace chivecrank::admission {

/// How fast a queue drains: what was measured while requests waited, and what
/// the slots can do until then.
class drain_rate {
 public:
  /// A request that had waited got its slot.
  void Count(base::time_point now);

  /// Requests per second.
  double PerSecond(const service_capacity& capacity, base::time_point now);

 private:
  void CloseWindow(base::time_point now);

  base::time_point window_start_{};
  std::int64_t counted_ = 0;
  double measured_ = 0;
  base::time_point measured_at_{};
};

}  // namespace chivecrank::admission

#endif  // CHIVECRANK_ADMISSION_DRAIN_RATE_H_
