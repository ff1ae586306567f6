#ifndef CHIVECRANK_RUNTIME_DEPARTURE_H_
#define CHIVECRANK_RUNTIME_DEPARTURE_H_

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::runtime {

/// Sets until when a draining worker stays at least, from the entry `listed`
/// that was read at `now` and what was known before; `known` is null for
/// nothing. An entry may be old when it is read, so that the earliest moment
/// that any entry of this incarnation implied holds.
void UpdateDeparture(submissions::worker_description& listed,
                     const submissions::worker_description* known,
                     base::time_point now);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_DEPARTURE_H_
