#include "chivecrank/runtime/departure.h"

#include <algorithm>

namespace chivecrank::runtime {

void UpdateDeparture(submissions::worker_description& listed,
                     const submissions::worker_description* known,
                     base::time_point now) {
  listed.stays_until.reset();
  if (!listed.draining)
    return;
  if (listed.stays_at_least)
    listed.stays_until = now + *listed.stays_at_least;
  const bool is_known = known != nullptr && known->stays_until &&
                        known->started_at_ms == listed.started_at_ms;
  if (is_known)
    listed.stays_until = std::min(
        listed.stays_until.value_or(*known->stays_until), *known->stays_until);
}

}  // namespace chivecrank::runtime
