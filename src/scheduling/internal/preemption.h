#ifndef CHIVECRANK_SCHEDULING_INTERNAL_PREEMPTION_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_PREEMPTION_H_

#include <optional>
#include <string>
#include <vector>

#include "internal/placement_round.h"

namespace chivecrank::scheduling {

/// Batch attempts on one worker to stop, so that a request fits there.
struct preemption {
  std::size_t worker = 0;
  std::vector<checkpoint_ordered> stops;
};

/// Returns the preemption that loses the least run time, or nothing if no
/// worker could take the request. Attempts that were told to stop count as
/// ended.
std::optional<preemption> PlanPreemption(const planning_context& context,
                                         const placement_round& round,
                                         const placement_request& request);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_PREEMPTION_H_
