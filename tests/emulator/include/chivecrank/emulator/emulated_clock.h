#ifndef CHIVECRANK_EMULATOR_EMULATED_CLOCK_H_
#define CHIVECRANK_EMULATOR_EMULATED_CLOCK_H_

#include "chivecrank/base/clock.h"

namespace chivecrank::emulator {

/// The clock of one instance: its time of day can be wrong.
class emulated_clock final : public base::clock {
 public:
  explicit emulated_clock(base::clock& truth) : truth_(truth) {}

  base::time_point Now() const override { return truth_.Now(); }
  base::wall_time WallNow() const override { return truth_.WallNow() + jump_; }
  void SleepUntil(base::time_point wake) override { truth_.SleepUntil(wake); }

  /// From now on the time of day is off by `jump`.
  void JumpTo(base::milliseconds jump) { jump_ = jump; }

 private:
  base::clock& truth_;
  base::milliseconds jump_{0};
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_EMULATED_CLOCK_H_
