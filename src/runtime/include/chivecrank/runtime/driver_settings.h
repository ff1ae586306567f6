#ifndef CHIVECRANK_RUNTIME_DRIVER_SETTINGS_H_
#define CHIVECRANK_RUNTIME_DRIVER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "chivecrank/runtime/shard_housekeeping.h"
#include "chivecrank/submissions/scheduler_settings.h"

namespace chivecrank::runtime {

/// How an owner runs a shard.
struct driver_settings {
  std::string node;
  submissions::scheduler_settings scheduling;
  /// Term of the previous owner's lease, which may go on for so long after
  /// its key is gone.
  std::chrono::milliseconds owner_lease_term{2000};
  /// Time between changes and the decisions that they lead to, so that
  /// several are decided together.
  std::chrono::milliseconds decide_after{8};
  /// Time between two decisions when nothing happens.
  std::chrono::milliseconds idle_decision{200};
  /// How long a worker with runs may hold its lists, and time before the next
  /// look.
  std::chrono::milliseconds poll_wait{600};
  std::chrono::milliseconds poll_spacing{80};
  /// Time between two looks at a worker without runs.
  std::chrono::milliseconds idle_poll_interval{1200};
  /// Time before a failed look is repeated.
  std::chrono::milliseconds poll_retry_delay{250};
  /// Shortest time between two writes of the shard's status.
  std::chrono::milliseconds status_interval{700};
  std::chrono::milliseconds commit_retry{150};
  /// An entry of the journal is split above this; the store takes values of a
  /// mebibyte at most.
  std::size_t max_entry_bytes = 400 * 1024;
  housekeeping_settings housekeeping;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_DRIVER_SETTINGS_H_
