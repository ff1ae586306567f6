#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_STEP_ORDER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_STEP_ORDER_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "internal/submission_table.h"

namespace chivecrank::submissions::internal {

/// What a step's submission can still achieve, in the order of service.
enum class urgency {
  /// Its deadline.
  kInTime,
  /// A late end that is still useful.
  kLate,
  kTooLate,
};

/// A step with waiting tasks.
struct ready_step {
  live_submission* live = nullptr;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t priority = 0;
  urgency kind = urgency::kInTime;
  /// Time since the epoch by which the occurrence should end for `kind` to
  /// hold.
  std::chrono::milliseconds deadline{0};
  /// Remaining work of the occurrence relative to its value.
  double cost = 0;

  const step_request& Request() const {
    return live->request.steps[static_cast<std::size_t>(step)];
  }
  const live_occurrence& Occurrence() const {
    return live->occurrences[static_cast<std::size_t>(occurrence)];
  }
};

/// Sorts steps by priority, then by urgency. Within a group, steps that end
/// come first, by cost, lowest first, so that under overload submissions that
/// were begun are finished and most end in time. Long-running steps follow by
/// deadline: they keep the room that they get, and an hour later they are worth
/// as much, while a step that ends gives its room back.
///
/// The order matters under overload; if there is capacity for all steps it
/// hardly does.
void SortByUrgency(std::vector<ready_step>& steps,
                   std::chrono::milliseconds since_epoch);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_STEP_ORDER_H_
