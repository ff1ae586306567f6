#ifndef CHIVECRANK_ENTRIES_TYPES_H_
#define CHIVECRANK_ENTRIES_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "chivecrank/admission/types.h"
#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

/// The entries among each other: the slots that they share, by Thrift.
namespace chivecrank::entries {

/// A request that needs a slot.
struct slot_demand {
  std::string service;
  /// Requests of the service that wait in one entry at most.
  std::int64_t queue_limit = 256;
  std::string account;
  std::int64_t weight = 1;
  /// Requests of the account in flight or waiting in one entry at most.
  std::int64_t account_limit = 64;
  base::time_point deadline;
  /// Upstream that this request must not go to again; empty: any may serve.
  std::string avoid;
};

/// A slot that is held for a request, and for whose account.
struct held_slot {
  routing::slot_ticket ticket;
  std::string service;
  std::string account;
};

/// A slot, or the reason why there is none.
struct slot_result {
  std::optional<held_slot> slot;
  admission::refusal refused;
};

/// What a pool has done and has, for metrics.
struct pool_totals {
  routing::router_totals router;
  std::int64_t waiting = 0;
  std::int64_t admitted = 0;
  std::int64_t refused_account_limit = 0;
  std::int64_t refused_queue_full = 0;
  std::int64_t refused_too_late = 0;
  std::int64_t exchanges = 0;
  std::int64_t failed_exchanges = 0;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_TYPES_H_
