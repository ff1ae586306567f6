#ifndef CHIVECRANK_TESTS_LEASE_MODEL_SCHEDULER_FINGERPRINT_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_SCHEDULER_FINGERPRINT_H_

#include <string>

#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::lease_model {

/// Describes all state of a scheduler that its later decisions depend on, with
/// times relative to `now`. Schedulers with the same fingerprint are searched
/// once.
std::string FingerprintOf(const submissions::shard_scheduler& scheduler,
                          base::time_point now);

/// A time relative to `now`. Times further in the past than `memory` are alike.
std::string RelativeTime(base::time_point time,
                         base::time_point now,
                         std::chrono::milliseconds memory);

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_SCHEDULER_FINGERPRINT_H_
