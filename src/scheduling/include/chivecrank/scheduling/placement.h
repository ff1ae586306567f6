#ifndef CHIVECRANK_SCHEDULING_PLACEMENT_H_
#define CHIVECRANK_SCHEDULING_PLACEMENT_H_

#include <vector>

#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// Plans the attempts to start now. Urgent tasks come first; no worker is
/// committed beyond its capacity.
std::vector<attempt_started> PlanStarts(
    const shard_state& state,
    const std::vector<worker_view>& workers);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_PLACEMENT_H_
