#ifndef CHIVECRANK_RUNTIME_DRIVER_SETTINGS_H_
#define CHIVECRANK_RUNTIME_DRIVER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "chivecrank/runtime/lease_horizon.h"
#include "chivecrank/runtime/shard_housekeeping.h"
#include "chivecrank/submissions/scheduler_settings.h"

namespace chivecrank::runtime {

/// Settings of the driver of one owned shard. instance_runtime takes the first
/// two from ownership_settings.
struct driver_settings {
  /// Processor time of this instance, in millicores.
  std::int64_t processors_milli = 0;
  /// Lease term of the previous owner, which may consider its lease valid for
  /// up to this long after its owner key is gone.
  std::chrono::milliseconds owner_lease_term{0};
  std::string node;
  submissions::scheduler_settings scheduling;
  lease_horizon_settings LeaseHorizon() const {
    return {.worker_lease = scheduling.worker_lease};
  }
  /// How long owners of older programs renewed worker leases after their own
  /// lease.
  std::chrono::milliseconds unbounded_grace{2000};
  /// Time from a change to the decision it causes, so that one decision covers
  /// several changes.
  std::chrono::milliseconds decision_delay{8};
  /// Time between two decisions when nothing changes.
  std::chrono::milliseconds idle_decision_interval{200};
  /// How long a worker with runs may hold the answer to a poll.
  std::chrono::milliseconds poll_wait{600};
  /// Time from a poll's answer to the next poll of a worker with runs, and from
  /// the outcome of a start or stop command to the next poll.
  std::chrono::milliseconds poll_spacing{80};
  /// Time between two polls of a worker without runs.
  std::chrono::milliseconds idle_poll_interval{1200};
  /// Time before a failed poll is repeated.
  std::chrono::milliseconds poll_retry_delay{250};
  /// Minimum time between two writes of the shard's status.
  std::chrono::milliseconds status_interval{700};
  std::chrono::milliseconds commit_retry_delay{150};
  /// Journal entries larger than this are split. The store accepts values of at
  /// most 1 MiB.
  std::size_t max_entry_bytes = 400 * 1024;
  housekeeping_settings housekeeping;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_DRIVER_SETTINGS_H_
