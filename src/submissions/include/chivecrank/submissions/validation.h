#ifndef CHIVECRANK_SUBMISSIONS_VALIDATION_H_
#define CHIVECRANK_SUBMISSIONS_VALIDATION_H_

#include "chivecrank/base/result.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// Limit of a submission's tasks over all steps and occurrences. Every owner of
/// its shard keeps all of them in memory.
inline constexpr std::int64_t kMaxTasksPerSubmission = 100'000;

/// Checks that all figures are in range, so that no submission can bring its
/// owner down. Returns kInvalidArgument with the step and a remedy otherwise.
base::result<void> Validate(const submission& offered);

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_VALIDATION_H_
