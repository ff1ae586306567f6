#ifndef CHIVECRANK_ROUTING_SLOT_ROUTER_H_
#define CHIVECRANK_ROUTING_SLOT_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/routing/latency_distribution.h"
#include "chivecrank/routing/slot_assignment.h"
#include "chivecrank/routing/slot_borrower.h"
#include "chivecrank/routing/slot_lender.h"
#include "chivecrank/routing/types.h"
#include "chivecrank/routing/upstream_health.h"

namespace chivecrank::routing {

/// Chooses the upstream of each request among those with a slot that this entry
/// owns or has borrowed, and exchanges slots with the other entries. Not
/// thread-safe.
class slot_router {
 public:
  /// Requests of an earlier process of this entry may still occupy its slots,
  /// so they are used only after `usable_from`.
  slot_router(entry_position position,
              const router_options& options,
              base::time_point usable_from);

  /// Replaces the upstream list. Upstreams that are leaving or no longer listed
  /// receive no new requests.
  void Update(const std::vector<coordination::instance>& upstreams,
              base::time_point now);

  /// Takes a slot. Returns nothing if no slot is free, or if every free one is
  /// at an upstream slower than waiting for another.
  std::optional<slot_ticket> Acquire(const slot_request& request,
                                     base::time_point now);

  /// Releases a slot and updates the upstream's health from the outcome of its
  /// request.
  void Release(const slot_ticket& ticket,
               slot_outcome outcome,
               base::time_point now);

  /// An upstream answered a probe that was sent at `sent`.
  void RecordProbeAnswer(const std::string& upstream_id,
                         base::time_point sent,
                         base::time_point now);
  /// Upstreams with quarantined slots that wait for a probe answer.
  std::vector<coordination::instance> UpstreamsToProbe() const;

  /// Stops borrowing and returns all borrowed slots as they become free.
  void StopBorrowing(base::time_point now);

  /// Returns the messages that are due to other entries. `waiting` is the
  /// number of this entry's requests without a slot.
  std::vector<outgoing_exchange> PlanExchanges(std::int64_t waiting,
                                               base::time_point now);
  /// Handles a message of another entry and returns the answer. `waiting` is
  /// the number of this entry's requests without a slot.
  exchange_answer HandleRequest(const exchange_request& request,
                                std::int64_t waiting,
                                base::time_point now);
  /// Handles the answer to a message that was sent; no answer if it failed or
  /// timed out.
  void HandleAnswer(const outgoing_exchange& sent,
                    const std::optional<exchange_answer>& answer,
                    base::time_point now);

  /// Median over the upstreams of their estimated latency, from sending a
  /// request to its complete answer.
  std::chrono::milliseconds MedianLatency() const;
  /// Latency that about one request in a thousand exceeds.
  std::chrono::milliseconds TailLatency() const;
  /// Slots in use plus slots that could be used at once. Cached for a few
  /// milliseconds.
  std::int64_t Capacity(base::time_point now);
  router_totals Totals(base::time_point now) const;

 private:
  struct upstream_state {
    coordination::instance listed;
    upstream_health health;
    bool takes_requests = false;
    std::int64_t in_use = 0;
    /// Start of the current period without an answer; unset while no request is
    /// in flight.
    std::optional<base::time_point> unanswered_since;
  };
  struct peer_state {
    bool request_pending = false;
    base::time_point retry_at;
    std::int64_t spare = 0;
    /// When it last declined a request for slots or did not answer.
    base::time_point last_refusal;
  };
  using upstream_map = std::map<std::string, upstream_state>;

  bool HasSlot(const upstream_state& upstream,
               const slot_request& request,
               base::time_point now) const;
  bool IsAcceptable(upstream_state& upstream,
                    const slot_request& request,
                    base::time_point now);
  /// Whether its latency is so high that waiting for another may be better.
  bool IsSlow(const upstream_state& upstream) const;
  /// Whether it has answered nothing for much longer than requests take.
  bool IsUnresponsive(const upstream_state& upstream,
                      base::time_point now) const;
  bool IsAvoided(const upstream_state& upstream, base::time_point now) const;
  void UpdateUnresponsiveRule(base::time_point now);
  double Cost(const upstream_state& upstream) const;
  void UpdateMedianLatency(base::time_point now);
  void EjectFailing(upstream_state& upstream, base::time_point now);
  std::int64_t FreeSlots(base::time_point now) const;
  /// Free slots that belong to this entry, and so may be lent.
  std::int64_t OwnFreeSlots(base::time_point now) const;
  std::int64_t ReservedSlots() const;
  /// Slots to ask for, by the lender's index.
  std::map<std::int64_t, std::int64_t> PlanSlotRequests(
      std::int64_t slots,
      base::time_point now) const;
  void LendTo(const exchange_request& request,
              std::int64_t slots,
              exchange_answer& answer,
              base::time_point now);

  slot_assignment assignment_;
  const router_options options_;
  slot_lender lender_;
  slot_borrower borrower_;
  upstream_map upstreams_;
  std::map<std::int64_t, peer_state> peers_;
  bool has_upstream_list_ = false;
  std::int64_t in_use_ = 0;
  double median_ms_ = 0;
  latency_distribution latencies_;
  base::time_point next_median_update_{};
  /// Whether unresponsive upstreams are avoided: only while they are at most
  /// `max_ejected_fraction` of the live ones.
  bool avoids_unresponsive_ = false;
  std::int64_t capacity_ = 0;
  base::time_point next_capacity_update_{};
  base::time_point next_slot_request_{};
  bool borrowing_enabled_ = true;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_ROUTER_H_
