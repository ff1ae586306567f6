#include "chivecrank/base/system_clock.h"

#include <thread>

namespace chivecrank::base {

time_point system_clock::Now() const {
  return std::chrono::steady_clock::now();
}

wall_time system_clock::WallNow() const {
  return std::chrono::system_clock::now();
}

void system_clock::SleepUntil(time_point wake) {
  std::this_thread::sleep_until(wake);
}

}  // namespace chivecrank::base
