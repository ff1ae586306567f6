#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_STEP_ORDER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_STEP_ORDER_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "internal/submission_table.h"

namespace chivecrank::submissions::internal {

/// What a step can still reach, in the order in which steps are served.
enum class urgency {
  /// Its submission's objective.
  kInTime,
  /// An end that is late and still of use.
  kLate,
  kTooLate,
};

/// A step with tasks that wait for a run.
struct ready_step {
  live_submission* live = nullptr;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t priority = 0;
  urgency kind = urgency::kInTime;
  /// Time of day by which its occurrence should end to reach that.
  std::chrono::milliseconds deadline{0};
  /// Work left of its occurrence, against what the occurrence is worth.
  double cost = 0;

  const step_request& Request() const {
    return live->request.steps[static_cast<std::size_t>(step)];
  }
  const live_occurrence& Occurrence() const {
    return live->occurrences[static_cast<std::size_t>(occurrence)];
  }
};

/// Puts steps into the order in which they are served: by priority, then by
/// what they can still reach, then services by their deadlines. Other work
/// takes the places between them, the least work left for its worth first, so
/// that under too much load what was begun is ended and most is in time.
///
/// Answers more load than there is room for; with room for all, the order
/// hardly matters.
void SortByUrgency(std::vector<ready_step>& steps,
                   std::chrono::milliseconds since_epoch);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_STEP_ORDER_H_
