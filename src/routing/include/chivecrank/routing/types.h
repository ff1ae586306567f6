#ifndef CHIVECRANK_ROUTING_TYPES_H_
#define CHIVECRANK_ROUTING_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"

/// Routes requests to upstreams and shares the upstreams' slots among the
/// entries. Uses no threads, sockets or clocks: callers pass the time in.
namespace chivecrank::routing {

/// Position of this entry among the entries that share the upstreams' slots.
struct entry_position {
  std::int64_t index = 0;
  std::int64_t count = 1;
  /// Failure domain of each entry, by index. Must be the same at every entry.
  /// If empty, slots are divided without regard to failure domains.
  std::vector<std::string> failure_domains;
};

/// Parameters of slot sharing. The durations must be the same at every entry.
struct sharing_options {
  /// Whether free slots are lent to other entries.
  bool lending = true;
  /// How long a borrower may start requests on a lent slot.
  std::chrono::milliseconds lease{1000};
  /// Longest time by which a request on a lent slot may outlast the lease.
  std::chrono::milliseconds max_request_duration{2000};
  /// Longest time that an upstream works on a request after the request's
  /// deadline, after its connection was closed or after its sender has died.
  std::chrono::milliseconds max_overrun{2000};
  /// Allowance for clocks that run at different rates.
  std::chrono::milliseconds clock_margin{100};
  /// A peer is asked for at least this many slots, unless fewer are lacking.
  std::int64_t min_requested_slots = 16;
  /// Shortest time between two rounds of slot requests, regardless of which
  /// peers they are sent to.
  std::chrono::milliseconds request_interval{80};
  /// Delay before a peer that had nothing to lend is asked again.
  std::chrono::milliseconds refusal_backoff{20};

  /// Time after which the lender reclaims a lent slot without a message from
  /// the borrower.
  std::chrono::milliseconds ReclaimDelay() const {
    return lease + max_request_duration + max_overrun + clock_margin;
  }
};

/// Parameters for avoiding, ejecting and readmitting upstreams.
struct health_options {
  /// An upstream whose latency exceeds this multiple of the median is avoided.
  double slow_factor = 2;
  /// Consecutive failures that eject an upstream.
  std::int64_t ejection_threshold = 3;
  /// Upper bound on the fraction of live upstreams that are ejected at a time.
  /// If a larger fraction is unresponsive, unresponsive upstreams are not
  /// avoided.
  double max_ejected_fraction = 0.4;
  std::chrono::milliseconds initial_ejection{1000};
  std::chrono::milliseconds max_ejection{30'000};
  /// A new or returning upstream gets its slots gradually over this time.
  std::chrono::milliseconds slow_start{3000};
  /// An avoided upstream gets a trial request after this interval, which
  /// doubles with each trial.
  std::chrono::milliseconds initial_trial_interval{1000};
  std::chrono::milliseconds max_trial_interval{8000};
};

struct router_options {
  sharing_options sharing;
  health_options health;
};

/// Current counts of a router, for metrics.
struct router_totals {
  std::int64_t free = 0;
  std::int64_t in_use = 0;
  std::int64_t lent = 0;
  std::int64_t borrowed = 0;
  /// Own slots that are not reused yet because the upstream may still be
  /// working on an earlier request.
  std::int64_t quarantined = 0;
  std::int64_t ejected = 0;
  std::int64_t upstreams = 0;
};

/// Outcome of a request on a slot.
enum class slot_outcome {
  kAnswered,
  /// The upstream answered that it failed, or closed the connection.
  kFailed,
  /// The request certainly did not reach the upstream.
  kUnreachable,
  /// No complete answer arrived in time; the upstream may still be working on
  /// the request.
  kAbandoned,
};

std::string_view SlotOutcomeName(slot_outcome value);

/// Identifies slots that one entry lent to another.
struct grant_key {
  /// Index of the lender.
  std::int64_t lender = 0;
  std::uint64_t number = 0;

  bool operator==(const grant_key&) const = default;
  bool operator<(const grant_key& other) const {
    return lender != other.lender ? lender < other.lender
                                  : number < other.number;
  }
};

/// A slot that is reserved for one request.
struct slot_ticket {
  coordination::instance upstream;
  /// Number 0 stands for a slot of this entry's own.
  grant_key grant;
  base::time_point acquired_at;
};

/// Requirements of a request on a slot.
struct slot_request {
  base::time_point deadline;
  /// Estimated wait for another slot.
  std::chrono::milliseconds expected_wait{0};
  /// Identifier of an upstream that this request must not be sent to again;
  /// empty: any may serve it.
  std::string excluded_upstream_id;
};

/// Slots of one upstream that an entry lends.
struct slot_grant {
  std::uint64_t number = 0;
  std::string upstream_id;
  std::int64_t slots = 0;
};

/// Number of a grant's slots that the borrower has returned so far. The number
/// is cumulative, so a repeated message changes nothing.
struct grant_return {
  std::uint64_t number = 0;
  std::int64_t slots = 0;
};

/// Message of a borrower to a lender.
struct exchange_request {
  /// Index of the borrower.
  std::int64_t borrower = 0;
  /// Number of slots the borrower asks for.
  std::int64_t wanted = 0;
  std::vector<grant_return> returns;
  std::vector<std::uint64_t> renewals;
  /// Number of the borrower's own free slots that it could lend to other
  /// entries.
  std::int64_t spare = 0;
};

/// Answer of the lender.
struct exchange_answer {
  std::vector<slot_grant> grants;
  std::vector<std::uint64_t> renewed;
  /// Number of slots that the lender could still lend.
  std::int64_t spare = 0;
};

/// A message to another entry.
struct outgoing_exchange {
  /// Index of the lender.
  std::int64_t lender = 0;
  exchange_request request;
  base::time_point sent;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_TYPES_H_
