#ifndef CHIVECRANK_ROUTING_SLOT_ROUTER_H_
#define CHIVECRANK_ROUTING_SLOT_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/routing/latency_spread.h"
#include "chivecrank/routing/slot_borrower.h"
#include "chivecrank/routing/slot_layout.h"
#include "chivecrank/routing/slot_lender.h"
#include "chivecrank/routing/types.h"
#include "chivecrank/routing/upstream_health.h"

namespace chivecrank::routing {

/// Chooses the upstream of each request among those with a slot that this
/// entry owns or has borrowed, and shares slots with the other entries. Not
/// safe to use from several threads.
class slot_router {
 public:
  /// Slots may still be busy for a predecessor, so they are usable only after
  /// `usable_from`.
  slot_router(entry_position share,
              const router_options& options,
              base::time_point usable_from);

  /// Takes over the list of upstreams. Leaving and missing ones get nothing
  /// new.
  void Update(const std::vector<coordination::instance>& upstreams,
              base::time_point now);

  /// Takes a slot; nothing when none is free or worth its latency.
  std::optional<slot_ticket> Acquire(const slot_request& request,
                                     base::time_point now);

  /// Gives a slot back and learns from how its request ended.
  void Release(const slot_ticket& ticket,
               slot_outcome outcome,
               base::time_point now);

  /// An upstream answered a probe that was sent at `sent`.
  void RecordProbeAnswer(const std::string& upstream_id,
                         base::time_point sent,
                         base::time_point now);
  /// Upstreams whose slots are held back until they answer a probe.
  std::vector<coordination::instance> UpstreamsToProbe() const;

  /// Borrows nothing more and gives back all that is borrowed.
  void StopBorrowing(base::time_point now);

  /// Messages for other entries. `waiting` requests have no slot.
  std::vector<outgoing_exchange> PlanExchanges(std::int64_t waiting,
                                               base::time_point now);
  /// Answers another entry. `waiting` requests of this one have no slot.
  exchange_answer HandleRequest(const exchange_request& request,
                                std::int64_t waiting,
                                base::time_point now);
  /// Takes over an answer; none when it did not come.
  void HandleAnswer(const outgoing_exchange& sent,
                    const std::optional<exchange_answer>& answer,
                    base::time_point now);

  /// Learned time from sending to the whole answer: of the median upstream.
  std::chrono::milliseconds MedianLatency() const;
  /// A latency that few requests exceed.
  std::chrono::milliseconds TailLatency() const;
  /// Slots that this entry could fill at once, as of a few milliseconds ago.
  std::int64_t Capacity(base::time_point now);
  router_totals Totals(base::time_point now) const;

 private:
  struct upstream_state {
    coordination::instance listed;
    upstream_health health;
    bool takes_requests = false;
    std::int64_t in_use = 0;
    /// When it got the first request that it has left unanswered while it
    /// answered no other.
    std::optional<base::time_point> silent_since;
  };
  struct peer_state {
    bool asked = false;
    base::time_point ask_again;
    std::int64_t spare = 0;
    /// When it last had nothing to lend.
    base::time_point refused_at;
  };
  using upstream_map = std::map<std::string, upstream_state>;

  bool HasSlot(const upstream_state& at,
               const slot_request& request,
               base::time_point now) const;
  bool IsWorthIt(upstream_state& at,
                 const slot_request& request,
                 base::time_point now);
  /// Whether it is so much slower than the others that waiting may be better.
  bool IsSlow(const upstream_state& at) const;
  /// Whether it has answered nothing for much longer than answers take.
  bool IsSilent(const upstream_state& at, base::time_point now) const;
  bool IsAvoided(const upstream_state& at, base::time_point now) const;
  void JudgeSilence(base::time_point now);
  double Cost(const upstream_state& at) const;
  void LearnTypicalLatency(base::time_point now);
  void EjectFailing(upstream_state& at, base::time_point now);
  std::int64_t FreeSlots(base::time_point now) const;
  /// Free slots that are its own, and so may be lent.
  std::int64_t OwnFreeSlots(base::time_point now) const;
  std::int64_t Reserve() const;
  /// Slots to ask for, by the lender's place.
  std::map<std::int64_t, std::int64_t> DivideAmongLenders(
      std::int64_t slots,
      base::time_point now) const;
  void LendTo(const exchange_request& request,
              std::int64_t slots,
              exchange_answer& answer,
              base::time_point now);

  slot_layout layout_;
  const router_options options_;
  slot_lender lender_;
  slot_borrower borrower_;
  upstream_map upstreams_;
  std::map<std::int64_t, peer_state> peers_;
  bool has_list_ = false;
  std::int64_t in_use_ = 0;
  double typical_ms_ = 0;
  latency_spread spread_;
  base::time_point next_typical_{};
  /// Silence counts only while few upstreams are silent.
  bool silence_counts_ = false;
  std::int64_t capacity_ = 0;
  base::time_point next_capacity_{};
  base::time_point next_ask_{};
  bool borrowing_ = true;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_ROUTER_H_
