#ifndef CHIVECRANK_BASE_MANUAL_CLOCK_H_
#define CHIVECRANK_BASE_MANUAL_CLOCK_H_

#include <condition_variable>
#include <mutex>

#include "chivecrank/base/clock.h"

namespace chivecrank::base {

/// Clock for tests, replays and benchmarks that only Advance() moves.
/// Thread-safe.
class manual_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
  void SleepUntil(time_point wake) override;

  /// Moves the clock forward and wakes the threads in SleepUntil() whose time
  /// is reached.
  void Advance(duration step);

 private:
  mutable std::mutex mutex_;
  std::condition_variable advanced_;
  duration elapsed_{};
};

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_MANUAL_CLOCK_H_
