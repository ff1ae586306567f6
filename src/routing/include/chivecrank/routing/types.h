#ifndef CHIVECRANK_ROUTING_TYPES_H_
#define CHIVECRANK_ROUTING_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"

/// Which upstream a request goes to, and how the entries share the upstreams'
/// slots. No threads, sockets or clocks inside.
namespace chivecrank::routing {

/// This entry's place among the entries that share the upstreams' slots.
struct entry_position {
  std::int64_t index = 0;
  std::int64_t count = 1;
  /// Failure domain of each place, by index. Must be the same at every entry;
  /// empty: slots are divided without regard to failure domains.
  std::vector<std::string> failure_domains;
};

/// Times and bounds of slot sharing. The times must be the same at every
/// entry.
struct sharing_options {
  /// Whether free slots are lent to other entries.
  bool lending = true;
  /// A borrower starts requests on a lent slot for this long.
  std::chrono::milliseconds lease{1000};
  /// A request on a lent slot ends at most this long after the lease.
  std::chrono::milliseconds max_request_duration{2000};
  /// Longest time that an upstream works on a request after the request's
  /// deadline, after its connection was closed or after its sender has died.
  std::chrono::milliseconds max_overrun{2000};
  /// Allowance for clocks that run at different speeds.
  std::chrono::milliseconds clock_margin{100};
  /// Slots that a peer is asked for at least, when more are lacking.
  std::int64_t smallest_request = 16;
  /// Shortest time between two requests for slots, whoever is asked.
  std::chrono::milliseconds ask_pause{80};
  /// Pause before a peer that had nothing to lend is asked again.
  std::chrono::milliseconds refusal_pause{20};

  /// Time after which a lent slot is free again without a message.
  std::chrono::milliseconds ReclaimAfter() const {
    return lease + max_request_duration + max_overrun + clock_margin;
  }
};

/// When upstreams are avoided, ejected and taken back.
struct health_options {
  /// An upstream this much slower than the median is avoided.
  double slow_factor = 2;
  /// Failures in a row that eject an upstream.
  std::int64_t failures = 3;
  /// At most this share of the live upstreams is ejected at a time.
  double ejected_share = 0.4;
  std::chrono::milliseconds first_ejection{1000};
  std::chrono::milliseconds longest_ejection{30'000};
  /// A new or returning upstream gets its slots one after the other over this
  /// time.
  std::chrono::milliseconds slow_start{3000};
  /// An avoided upstream is measured again this often, at first.
  std::chrono::milliseconds first_trial{1000};
  std::chrono::milliseconds longest_trial{8000};
};

/// Options of a router.
struct router_options {
  sharing_options sharing;
  health_options health;
};

/// What the router has, for metrics.
struct router_totals {
  std::int64_t free = 0;
  std::int64_t in_use = 0;
  std::int64_t lent = 0;
  std::int64_t borrowed = 0;
  /// Own slots that may still be busy for requests that were given up on.
  std::int64_t held_back = 0;
  std::int64_t ejected = 0;
  std::int64_t upstreams = 0;
};

/// How a request on a slot ended.
enum class slot_outcome {
  kAnswered,
  /// The upstream answered that it failed, or closed the connection.
  kFailed,
  /// It certainly did not reach the upstream.
  kUnreachable,
  /// No whole answer came in time; the upstream may still work on it.
  kAbandoned,
};

std::string_view SlotOutcomeName(slot_outcome value);

/// Identifies slots that one entry lent to another.
struct grant_key {
  /// Place of the lender.
  std::int64_t lender = 0;
  std::uint64_t number = 0;

  bool operator==(const grant_key&) const = default;
  bool operator<(const grant_key& other) const {
    return lender != other.lender ? lender < other.lender
                                  : number < other.number;
  }
};

/// A slot that is held for one request.
struct slot_ticket {
  coordination::instance upstream;
  /// Number 0: a slot of this entry's own.
  grant_key grant;
  base::time_point taken;
};

/// What a request needs of a slot.
struct slot_request {
  base::time_point deadline;
  /// How long the request would wait for another slot.
  std::chrono::milliseconds expected_wait{0};
  /// Upstream that this request must not go to again; empty: any may serve.
  std::string avoid;
};

/// Slots of one upstream that an entry lends.
struct slot_grant {
  std::uint64_t number = 0;
  std::string upstream_id;
  std::int64_t slots = 0;
};

/// Slots of a grant that the borrower has given back so far. The total only
/// grows, so that a repeated message changes nothing.
struct grant_return {
  std::uint64_t number = 0;
  std::int64_t slots = 0;
};

/// What a borrower tells a lender.
struct exchange_request {
  /// Place of the borrower.
  std::int64_t borrower = 0;
  /// Slots that it wants.
  std::int64_t wanted = 0;
  std::vector<grant_return> returns;
  std::vector<std::uint64_t> renewals;
  /// Slots that the borrower could lend itself.
  std::int64_t spare = 0;
};

/// What the lender answers.
struct exchange_answer {
  std::vector<slot_grant> grants;
  std::vector<std::uint64_t> renewed;
  /// Slots that the lender could still lend.
  std::int64_t spare = 0;
};

/// A message for another entry.
struct outgoing_exchange {
  /// Place of the lender.
  std::int64_t lender = 0;
  exchange_request request;
  base::time_point sent;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_TYPES_H_
