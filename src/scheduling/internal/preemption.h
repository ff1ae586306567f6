#ifndef CHIVECRANK_SCHEDULING_INTERNAL_PREEMPTION_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_PREEMPTION_H_

#include <optional>
#include <string>
#include <vector>

#include "internal/placement_round.h"

namespace chivecrank::scheduling {

/// Batch attempts on one worker whose end makes room for a request.
struct preemption {
  std::size_t worker = 0;
  std::vector<checkpoint_ordered> stops;
};

/// The preemption that loses the least run time, or nothing when no worker
/// could take the request. Attempts whose end is ordered count as gone.
std::optional<preemption> PlanPreemption(const planning_context& context,
                                         const placement_round& round,
                                         const placement_request& request);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_PREEMPTION_H_
