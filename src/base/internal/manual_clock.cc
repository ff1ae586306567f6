#include "chivecrank/base/manual_clock.h"

namespace chivecrank::base {

time_point manual_clock::Now() const {
  std::lock_guard lock(mutex_);
  return time_point(elapsed_);
}

wall_time manual_clock::WallNow() const {
  std::lock_guard lock(mutex_);
  return wall_time(std::chrono::duration_cast<wall_time::duration>(elapsed_));
}

void manual_clock::SleepUntil(time_point wake) {
  std::unique_lock lock(mutex_);
  advanced_.wait(lock, [&] { return time_point(elapsed_) >= wake; });
}

void manual_clock::Advance(duration step) {
  std::lock_guard lock(mutex_);
  elapsed_ += step;
  advanced_.notify_all();
}

}  // namespace chivecrank::base
