#ifndef CHIVECRANK_BASE_BOOT_CLOCK_H_
#define CHIVECRANK_BASE_BOOT_CLOCK_H_

#include "chivecrank/base/clock.h"

namespace chivecrank::base {

/// Monotonic clock that also advances while the machine is suspended, so that a
/// lease that expired during a suspension is expired on resume.
class boot_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
  void SleepUntil(time_point wake) override;
};

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_BOOT_CLOCK_H_
