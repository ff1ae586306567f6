#include "chivecrank/base/holdover_clock.h"

#include <chrono>

namespace chivecrank::base {

holdover_clock::holdover_clock(clock& source, holdover_settings settings)
    : source_(source),
      settings_(settings),
      followed_(SourceOffsetAt(source.Now())) {}

time_point holdover_clock::Now() const {
  return source_.Now();
}

wall_time holdover_clock::WallNow() const {
  const time_point now = source_.Now();
  Follow(SourceOffsetAt(now), now);
  return wall_time(std::chrono::duration_cast<wall_time::duration>(
      now.time_since_epoch() + followed_));
}

void holdover_clock::SleepUntil(time_point wake) {
  source_.SleepUntil(wake);
}

holdover_clock::offset holdover_clock::SourceOffsetAt(time_point now) const {
  return source_.WallNow().time_since_epoch() - now.time_since_epoch();
}

bool holdover_clock::IsNear(offset left, offset right) const {
  return std::chrono::abs(left - right) <= settings_.tolerance;
}

void holdover_clock::Follow(offset current, time_point now) const {
  if (IsNear(current, followed_)) {
    followed_ = current;
    jumped_at_.reset();
    return;
  }
  if (!jumped_at_ || !IsNear(current, jumped_to_)) {
    jumped_at_ = now;
    jumped_to_ = current;
    return;
  }
  if (now - *jumped_at_ < settings_.adopt_after)
    return;
  followed_ = current;
  jumped_at_.reset();
}

}  // namespace chivecrank::base
