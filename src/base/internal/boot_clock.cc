#include "chivecrank/base/boot_clock.h"

#include <ctime>
#include <thread>

namespace chivecrank::base {

time_point boot_clock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return time_point(std::chrono::duration_cast<duration>(since_boot));
}

wall_time boot_clock::WallNow() const {
  return std::chrono::system_clock::now();
}

void boot_clock::SleepUntil(time_point wake) {
  std::this_thread::sleep_for(wake - Now());
}

}  // namespace chivecrank::base
