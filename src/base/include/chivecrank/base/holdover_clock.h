#ifndef CHIVECRANK_BASE_HOLDOVER_CLOCK_H_
#define CHIVECRANK_BASE_HOLDOVER_CLOCK_H_

#include <optional>

#include "chivecrank/base/clock.h"

namespace chivecrank::base {

struct holdover_settings {
  /// Differences up to this between the time of day and the time that has
  /// passed are corrections, not jumps.
  milliseconds tolerance{400};
  /// A jump is followed once it has lasted this long.
  milliseconds adopt_after{20'000};
};

/// Clock whose time of day goes on with the monotonic time while that of the
/// source jumps back and forth, as it does when time synchronization fails. Not
/// thread-safe. The source must outlive it.
class holdover_clock final : public clock {
 public:
  holdover_clock(clock& source, holdover_settings settings);

  time_point Now() const override;
  wall_time WallNow() const override;
  void SleepUntil(time_point wake) override;

 private:
  /// Time of day less monotonic time.
  using offset = duration;

  offset SourceOffsetAt(time_point now) const;
  bool IsNear(offset left, offset right) const;
  void Follow(offset current, time_point now) const;

  clock& source_;
  const holdover_settings settings_;
  mutable offset followed_;
  /// Where the source's time of day jumped to, and when this was first seen.
  mutable offset jumped_to_{};
  mutable std::optional<time_point> jumped_at_;
};

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_HOLDOVER_CLOCK_H_
