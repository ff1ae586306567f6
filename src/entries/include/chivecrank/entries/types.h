#ifndef CHIVECRANK_ENTRIES_TYPES_H_
#define CHIVECRANK_ENTRIES_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "chivecrank/admission/types.h"
#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

/// Communication among the entries: they share the upstreams' slots over
/// Thrift.
namespace chivecrank::entries {

struct slot_demand {
  std::string service;
  /// Largest number of the service's requests that wait at one entry.
  std::int64_t queue_limit = 256;
  std::string account;
  std::int64_t weight = 1;
  /// Largest number of the account's requests in flight or waiting at one
  /// entry.
  std::int64_t account_limit = 64;
  base::time_point deadline;
  /// Identifier of an upstream that this request must not be sent to again;
  /// empty: any may serve it.
  std::string excluded_upstream_id;
};

/// A slot reserved for a request, with the service and account it counts for.
struct held_slot {
  routing::slot_ticket ticket;
  std::string service;
  std::string account;
};

/// A slot, or the reason for refusing one.
struct slot_result {
  std::optional<held_slot> slot;
  admission::refusal refused;
};

/// Current counts of a pool, and totals since its start, for metrics.
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
