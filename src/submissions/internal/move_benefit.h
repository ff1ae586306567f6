#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_MOVE_BENEFIT_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_MOVE_BENEFIT_H_

#include <chrono>
#include <cstdint>

namespace chivecrank::submissions::internal {

/// A throttled run that could go on elsewhere.
struct throttled_run {
  /// Run time of the whole task at full speed.
  std::chrono::milliseconds run_time{0};
  /// Progress and speed, in percent.
  std::int32_t done_percent = 0;
  std::int32_t speed_percent = 0;
  /// A stop saves its progress.
  bool saves_progress = false;
};

/// Whether the task probably ends sooner if it is stopped and started again on
/// a worker that does not throttle it. The load it answers: many best-effort
/// tasks beside services that come near their targets; moves that cost more
/// than they gain take room from all others.
bool IsWorthMoving(const throttled_run& run);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_MOVE_BENEFIT_H_
