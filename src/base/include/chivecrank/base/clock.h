#ifndef CHIVECRANK_BASE_CLOCK_H_
#define CHIVECRANK_BASE_CLOCK_H_

#include <chrono>

namespace chivecrank::base {

/// Monotonic time of this process, used for leases and deadlines.
using time_point = std::chrono::steady_clock::time_point;
/// Time of day, for audit records, reports and work due at a time of day.
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;

/// Source of time, passed to every component through its constructor.
class clock {
 public:
  virtual ~clock() = default;

  virtual time_point Now() const = 0;
  virtual wall_time WallNow() const = 0;
  /// Blocks the calling thread until `wake` on this clock.
  virtual void SleepUntil(time_point wake) = 0;
};

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_CLOCK_H_
