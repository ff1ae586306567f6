#ifndef CHIVECRANK_ADMISSION_DRAIN_RATE_H_
#define CHIVECRANK_ADMISSION_DRAIN_RATE_H_

#include <cstdint>

#include "chivecrank/admission/types.h"
#include "chivecrank/base/clock.h"

namespace chivecrank::admission {

/// Rate at which a queue drains: measured while requests wait, and estimated
/// from the slots when there is no recent measurement.
class drain_rate {
 public:
  /// A request that had waited was dequeued.
  void RecordDequeue(base::time_point now);

  double RequestsPerSecond(const service_capacity& capacity,
                           base::time_point now);

 private:
  void CloseWindow(base::time_point now);

  base::time_point window_start_{};
  std::int64_t dequeued_ = 0;
  double measured_rate_ = 0;
  base::time_point measured_at_{};
};

}  // namespace chivecrank::admission

#endif  // CHIVECRANK_ADMISSION_DRAIN_RATE_H_
