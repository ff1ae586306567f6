#ifndef CHIVECRANK_SCHEDULING_SUBMISSION_CHECK_H_
#define CHIVECRANK_SCHEDULING_SUBMISSION_CHECK_H_

#include <cstdint>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// Checks whether `gang_size` tasks of this size would fit into the workers at
/// the same time if the workers were empty. Fails with kInvalidArgument if not;
/// the remedy names the sizes that would fit.
base::result<void> CheckSubmission(const coordination::resources& demand,
                                   std::int64_t gang_size,
                                   const std::vector<worker_view>& workers);

/// Number of tasks of this size that fit into one empty worker of this
/// capacity, at most `limit`.
std::int64_t CountFittingTasks(const coordination::resources& demand,
                               const coordination::resources& capacity,
                               std::int64_t limit);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_SUBMISSION_CHECK_H_
