#include "internal/move_benefit.h"

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int32_t kFullPercent = 100;
/// From the stop of a run until its task works elsewhere.
constexpr std::chrono::milliseconds kRestartTime{600};
/// Time until a halted run is likely to go on, and its speed then, in percent.
constexpr std::chrono::milliseconds kHaltTime{2500};
constexpr std::int32_t kSpeedAfterHalt = 50;

std::chrono::milliseconds ShareOf(std::chrono::milliseconds time,
                                  std::int32_t percent) {
  return time * percent / kFullPercent;
}

std::chrono::milliseconds TimeAt(std::chrono::milliseconds work,
                                 std::int32_t speed_percent) {
  return work * kFullPercent / speed_percent;
}

std::chrono::milliseconds TimeIfItStays(const throttled_run& run,
                                        std::chrono::milliseconds left) {
  if (run.speed_percent <= 0)
    return kHaltTime + TimeAt(left, kSpeedAfterHalt);
  return TimeAt(left, run.speed_percent);
}

}  // namespace

bool IsWorthMoving(const throttled_run& run) {
  const auto done = ShareOf(run.run_time, run.done_percent);
  const auto left = run.run_time - done;
  const auto lost = run.saves_progress ? std::chrono::milliseconds(0) : done;
  return kRestartTime + lost + left < TimeIfItStays(run, left);
}

}  // namespace chivecrank::submissions::internal
