#ifndef CHIVECRANK_BASE_MANUAL_CLOCK_H_
#define CHIVECRANK_BASE_MANUAL_CLOCK_H_

#include <condition_variable>
#include <mutex>

#include "chivecrank/base/clock.h"

namespace chivecrank::base {

/// A clock that stands still until a test, a replay or a benchmark moves it.
/// Safe to use from several threads.
class manual_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
  void SleepUntil(time_point wake) override;

  /// Moves the time forward and wakes the sleepers whose time has come.
  void Advance(duration step);

 private:
  mutable std::mutex mutex_;
  std::condition_variable moved_;
  duration elapsed_{};
};

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_MANUAL_CLOCK_H_
