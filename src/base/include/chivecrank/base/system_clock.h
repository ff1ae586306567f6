#ifndef CHIVECRANK_BASE_SYSTEM_CLOCK_H_
#define CHIVECRANK_BASE_SYSTEM_CLOCK_H_

#include "chivecrank/base/clock.h"

namespace chivecrank::base {

/// Clock of the operating system. Its monotonic time stops while the machine is
/// suspended; see boot_clock.
class system_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
  void SleepUntil(time_point wake) override;
};

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_SYSTEM_CLOCK_H_
