#include "chivecrank/routing/slot_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivecrank::routing {
namespace {

/// Relative increase of an upstream's cost from no slot in use to all slots in
/// use.
constexpr double kLoadWeight = 0.3;
constexpr std::chrono::milliseconds kMedianUpdateInterval{50};
constexpr std::chrono::milliseconds kCapacityUpdateInterval{5};
/// Free slots kept for this entry's next requests: the larger of this number
/// and the slots in use divided by kReserveDivisor.
constexpr std::int64_t kMinReservedSlots = 2;
constexpr std::int64_t kReserveDivisor = 12;
/// An upstream counts as unresponsive after this multiple of the tail latency
/// without an answer.
constexpr double kUnresponsiveFactor = 2;

double ToMs(base::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

slot_router::slot_router(entry_position position,
                         const router_options& options,
                         base::time_point usable_from)
    : assignment_(std::move(position)),
      options_(options),
      lender_(options.sharing, usable_from),
      borrower_(options.sharing) {
  for (std::int64_t index = 0; index < assignment_.position().count; ++index) {
    if (index != assignment_.position().index)
      peers_[index] = {};
  }
}

void slot_router::Update(const std::vector<coordination::instance>& upstreams,
                         base::time_point now) {
  for (auto& [id, known] : upstreams_)
    known.takes_requests = false;
  for (const coordination::instance& listed : upstreams) {
    if (listed.kind != coordination::instance_kind::kWorker)
      continue;
    const auto [position, is_new] = upstreams_.try_emplace(
        listed.id, upstream_state{listed, upstream_health(options_.health)});
    upstream_state& known = position->second;
    known.listed = listed;
    known.takes_requests = listed.state == coordination::instance_state::kLive;
    lender_.SetOwnSlots(listed.id, assignment_.OwnSlots(listed));
    // Upstreams of the first list were running before this entry, so they need
    // no slow start.
    if (is_new && has_upstream_list_)
      known.health.BeginSlowStart(now);
  }
  has_upstream_list_ = has_upstream_list_ || !upstreams.empty();
  std::erase_if(upstreams_, [this, now](const auto& entry) {
    const upstream_state& known = entry.second;
    const bool gone = !known.takes_requests && known.in_use == 0 &&
                      lender_.IsIdle(entry.first, now);
    if (gone)
      lender_.Forget(entry.first);
    return gone;
  });
}

std::optional<slot_ticket> slot_router::Acquire(const slot_request& request,
                                                base::time_point now) {
  lender_.AdvanceTo(now);
  UpdateMedianLatency(now);
  upstream_state* best = nullptr;
  for (auto& [id, known] : upstreams_) {
    if (best != nullptr && Cost(known) >= Cost(*best))
      continue;
    if (HasSlot(known, request, now) && IsAcceptable(known, request, now))
      best = &known;
  }
  if (best == nullptr)
    return std::nullopt;
  if (IsAvoided(*best, now))
    best->health.StartTrial(now);
  slot_ticket ticket{best->listed, {}, now};
  // A borrowed slot is used only if the upstream has no free slot of this
  // entry, so that borrowed slots stay idle and are returned to their owners.
  const auto grant =
      borrower_.FindFreeGrant(best->listed.id, request.deadline, now);
  if (lender_.FreeSlots(best->listed.id, now) > 0) {
    lender_.Acquire(best->listed.id);
  } else {
    ticket.grant = *grant;
    borrower_.Acquire(*grant);
  }
  ++best->in_use;
  ++in_use_;
  if (!best->unanswered_since)
    best->unanswered_since = now;
  return ticket;
}

bool slot_router::HasSlot(const upstream_state& upstream,
                          const slot_request& request,
                          base::time_point now) const {
  const std::string& id = upstream.listed.id;
  if (!upstream.takes_requests || id == request.excluded_upstream_id)
    return false;
  if (upstream.in_use >=
      upstream.health.AllowedSlots(upstream.listed.slots, now))
    return false;
  return lender_.FreeSlots(id, now) > 0 ||
         borrower_.FindFreeGrant(id, request.deadline, now).has_value();
}

bool slot_router::IsAcceptable(upstream_state& upstream,
                               const slot_request& request,
                               base::time_point now) {
  if (!IsAvoided(upstream, now)) {
    upstream.health.ResetTrialInterval();
    return true;
  }
  if (upstream.health.IsTrialDue(now))
    return true;
  const auto wait_ms = static_cast<double>(request.expected_wait.count());
  const bool unresponsive =
      avoids_unresponsive_ && IsUnresponsive(upstream, now);
  return !unresponsive && upstream.health.LatencyMs() <= median_ms_ + wait_ms;
}

bool slot_router::IsAvoided(const upstream_state& upstream,
                            base::time_point now) const {
  return IsSlow(upstream) ||
         (avoids_unresponsive_ && IsUnresponsive(upstream, now));
}

bool slot_router::IsUnresponsive(const upstream_state& upstream,
                                 base::time_point now) const {
  return upstream.unanswered_since && latencies_.TailMs() > 0 &&
         ToMs(now - *upstream.unanswered_since) >
             kUnresponsiveFactor * latencies_.TailMs();
}

void slot_router::UpdateUnresponsiveRule(base::time_point now) {
  std::int64_t live = 0;
  std::int64_t unresponsive = 0;
  for (const auto& [id, known] : upstreams_) {
    if (!known.takes_requests)
      continue;
    ++live;
    unresponsive += IsUnresponsive(known, now) ? 1 : 0;
  }
  avoids_unresponsive_ =
      static_cast<double>(unresponsive) <=
      options_.health.max_ejected_fraction * static_cast<double>(live);
}

bool slot_router::IsSlow(const upstream_state& upstream) const {
  return median_ms_ > 0 &&
         upstream.health.LatencyMs() > options_.health.slow_factor * median_ms_;
}

double slot_router::Cost(const upstream_state& upstream) const {
  const double load =
      static_cast<double>(upstream.in_use) /
      static_cast<double>(std::max<std::int64_t>(1, upstream.listed.slots));
  const double latency =
      upstream.health.HasLatency() ? upstream.health.LatencyMs() : median_ms_;
  return (latency + 1) * (1 + kLoadWeight * load);
}

void slot_router::Release(const slot_ticket& ticket,
                          slot_outcome outcome,
                          base::time_point now) {
  const std::string& id = ticket.upstream.id;
  const bool abandoned = outcome == slot_outcome::kAbandoned;
  if (ticket.grant.number != 0 && abandoned)
    borrower_.Abandon(ticket.grant, now);
  else if (ticket.grant.number != 0)
    borrower_.Release(ticket.grant, now);
  else if (abandoned)
    lender_.Abandon(id, now);
  else
    lender_.Release(id);
  --in_use_;
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end())
    return;
  upstream_state& known = found->second;
  --known.in_use;
  if (known.in_use == 0)
    known.unanswered_since.reset();
  else if (outcome == slot_outcome::kAnswered)
    known.unanswered_since = now;
  known.health.RecordOutcome(outcome, now - ticket.acquired_at);
  UpdateMedianLatency(now);
  if (outcome != slot_outcome::kAnswered) {
    EjectFailing(known, now);
    return;
  }
  lender_.RecordAnswer(id, ticket.acquired_at, now);
  if (!IsSlow(known))
    latencies_.AddSample(ToMs(now - ticket.acquired_at));
}

void slot_router::EjectFailing(upstream_state& upstream, base::time_point now) {
  if (!upstream.health.IsFailing() || upstream.health.IsEjected(now))
    return;
  std::int64_t live = 0;
  std::int64_t ejected = 0;
  upstream_state* soonest = nullptr;
  for (auto& [id, known] : upstreams_) {
    if (!known.takes_requests)
      continue;
    ++live;
    if (!known.health.IsEjected(now))
      continue;
    ++ejected;
    if (soonest == nullptr ||
        known.health.EjectedUntil() < soonest->health.EjectedUntil()) {
      soonest = &known;
    }
  }
  const auto limit = static_cast<std::int64_t>(
      options_.health.max_ejected_fraction * static_cast<double>(live));
  if (limit == 0)
    return;
  if (ejected >= limit)
    soonest->health.Readmit(now);
  upstream.health.Eject(now);
}

void slot_router::RecordProbeAnswer(const std::string& upstream_id,
                                    base::time_point sent,
                                    base::time_point now) {
  lender_.RecordAnswer(upstream_id, sent, now);
}

std::vector<coordination::instance> slot_router::UpstreamsToProbe() const {
  std::vector<coordination::instance> found;
  for (const std::string& id : lender_.UpstreamsAwaitingAnswer()) {
    const auto known = upstreams_.find(id);
    if (known != upstreams_.end() && known->second.takes_requests)
      found.push_back(known->second.listed);
  }
  return found;
}

void slot_router::UpdateMedianLatency(base::time_point now) {
  if (now < next_median_update_)
    return;
  next_median_update_ = now + kMedianUpdateInterval;
  UpdateUnresponsiveRule(now);
  std::vector<double> known;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.takes_requests && upstream.health.HasLatency())
      known.push_back(upstream.health.LatencyMs());
  }
  if (known.empty())
    return;
  const auto middle = known.begin() + std::ssize(known) / 2;
  std::nth_element(known.begin(), middle, known.end());
  median_ms_ = *middle;
}

void slot_router::StopBorrowing(base::time_point now) {
  borrowing_enabled_ = false;
  borrower_.EndLeases(now);
}

std::vector<outgoing_exchange> slot_router::PlanExchanges(
    std::int64_t waiting,
    base::time_point now) {
  std::vector<outgoing_exchange> messages;
  if (!options_.sharing.lending)
    return messages;
  lender_.AdvanceTo(now);
  borrower_.AdvanceTo(now);
  UpdateMedianLatency(now);
  const std::int64_t free = FreeSlots(now);
  const std::int64_t excess = free - 3 * ReservedSlots();
  if (waiting == 0 && excess > 0)
    borrower_.ReturnIdle(excess, now);
  const std::int64_t lacking = waiting + ReservedSlots() - free;
  std::map<std::int64_t, std::int64_t> wanted;
  if (borrowing_enabled_ && lacking > 0 && now >= next_slot_request_)
    wanted = PlanSlotRequests(lacking, now);
  if (!wanted.empty())
    next_slot_request_ = now + options_.sharing.request_interval;
  for (const std::int64_t lender : borrower_.LendersDue(now))
    wanted.try_emplace(lender, 0);
  for (const auto& [lender, slots] : wanted) {
    peer_state& peer = peers_[lender];
    if (peer.request_pending || now < peer.retry_at)
      continue;
    outgoing_exchange message{lender, {}, now};
    message.request.borrower = assignment_.position().index;
    message.request.wanted = slots;
    borrower_.FillRequest(lender, message.request, now);
    message.request.spare = std::max<std::int64_t>(
        0, std::min(free - ReservedSlots(), OwnFreeSlots(now)));
    peer.request_pending = true;
    messages.push_back(std::move(message));
  }
  return messages;
}

std::map<std::int64_t, std::int64_t> slot_router::PlanSlotRequests(
    std::int64_t slots,
    base::time_point now) const {
  struct offer {
    std::int64_t spare = 0;
    base::time_point last_refusal;
    std::int64_t index = 0;
  };
  std::vector<offer> offers;
  for (const auto& [index, peer] : peers_) {
    if (!peer.request_pending && now >= peer.retry_at)
      offers.push_back(
          {peer.spare + lender_.LentTo(index), peer.last_refusal, index});
  }
  // Among peers with equally many spare slots, the one with the most recent
  // refusal comes last.
  std::ranges::sort(offers, [](const offer& left, const offer& right) {
    return std::tuple(-left.spare, left.last_refusal, left.index) <
           std::tuple(-right.spare, right.last_refusal, right.index);
  });
  std::map<std::int64_t, std::int64_t> wanted;
  for (const auto& [spare, last_refusal, index] : offers) {
    if (slots <= 0)
      break;
    // The number of spare slots that a peer last reported may be outdated, so
    // it is asked for some slots in any case.
    const std::int64_t requested =
        std::min(slots, std::max(spare, options_.sharing.min_requested_slots));
    wanted[index] = requested;
    slots -= requested;
  }
  return wanted;
}

exchange_answer slot_router::HandleRequest(const exchange_request& request,
                                           std::int64_t waiting,
                                           base::time_point now) {
  lender_.AdvanceTo(now);
  for (const grant_return& returned : request.returns)
    lender_.Return(request.borrower, returned);
  exchange_answer answer;
  for (const std::uint64_t number : request.renewals) {
    if (waiting == 0 && lender_.Renew(request.borrower, number, now))
      answer.renewed.push_back(number);
  }
  const auto known = peers_.find(request.borrower);
  if (known == peers_.end())
    return answer;
  known->second.spare = request.spare;
  // A lender that asks for slots is short of them, so it gets its own slots
  // back first.
  if (request.wanted > 0)
    borrower_.ReturnToLender(request.borrower, request.wanted);
  std::int64_t spare = FreeSlots(now) - ReservedSlots() - waiting;
  if (request.wanted > 0 && spare > 0)
    LendTo(request, std::min(request.wanted, spare), answer, now);
  // Borrowed slots can't be lent on.
  const std::int64_t left =
      std::min(FreeSlots(now) - ReservedSlots() - waiting, OwnFreeSlots(now));
  answer.spare = std::max<std::int64_t>(0, left);
  return answer;
}

void slot_router::LendTo(const exchange_request& request,
                         std::int64_t slots,
                         exchange_answer& answer,
                         base::time_point now) {
  std::vector<std::pair<double, const std::string*>> offered;
  for (const auto& [id, known] : upstreams_) {
    const bool usable =
        known.takes_requests &&
        known.in_use < known.health.AllowedSlots(known.listed.slots, now);
    if (usable && !IsAvoided(known, now) && lender_.FreeSlots(id, now) > 0)
      offered.emplace_back(Cost(known), &id);
  }
  std::sort(offered.begin(), offered.end());
  for (const auto& [cost, id] : offered) {
    if (slots <= 0)
      return;
    const auto grant = lender_.Lend(request.borrower, *id, slots, now);
    if (!grant)
      continue;
    slots -= grant->slots;
    answer.grants.push_back(*grant);
  }
}

void slot_router::HandleAnswer(const outgoing_exchange& sent,
                               const std::optional<exchange_answer>& answer,
                               base::time_point now) {
  peer_state& peer = peers_[sent.lender];
  peer.request_pending = false;
  if (!answer) {
    peer.spare = 0;
    peer.last_refusal = now;
    peer.retry_at = now + options_.sharing.lease / 4;
    return;
  }
  for (const slot_grant& grant : answer->grants)
    borrower_.AddGrant(sent.lender, grant, sent.sent);
  for (const std::uint64_t number : answer->renewed)
    borrower_.RecordRenewal({sent.lender, number}, sent.sent);
  borrower_.RecordDelivery(sent.lender, sent.request);
  peer.spare = answer->spare;
  const bool refused = sent.request.wanted > 0 && answer->grants.empty();
  if (refused)
    peer.last_refusal = now;
  peer.retry_at = refused ? now + options_.sharing.refusal_backoff : now;
}

std::int64_t slot_router::FreeSlots(base::time_point now) const {
  std::int64_t free = 0;
  for (const auto& [id, known] : upstreams_) {
    if (!known.takes_requests || IsAvoided(known, now))
      continue;
    const std::int64_t allowed =
        known.health.AllowedSlots(known.listed.slots, now) - known.in_use;
    const std::int64_t held =
        lender_.FreeSlots(id, now) + borrower_.FreeSlots(id, now);
    free += std::max<std::int64_t>(0, std::min(allowed, held));
  }
  return free;
}

std::int64_t slot_router::OwnFreeSlots(base::time_point now) const {
  std::int64_t free = 0;
  for (const auto& [id, known] : upstreams_)
    if (known.takes_requests && !IsAvoided(known, now))
      free += lender_.FreeSlots(id, now);
  return free;
}

std::int64_t slot_router::ReservedSlots() const {
  return std::max(kMinReservedSlots, in_use_ / kReserveDivisor);
}

std::chrono::milliseconds slot_router::MedianLatency() const {
  return std::chrono::milliseconds(static_cast<std::int64_t>(median_ms_));
}

std::chrono::milliseconds slot_router::TailLatency() const {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(latencies_.TailMs()));
}

std::int64_t slot_router::Capacity(base::time_point now) {
  if (now >= next_capacity_update_) {
    capacity_ = FreeSlots(now) + in_use_;
    next_capacity_update_ = now + kCapacityUpdateInterval;
  }
  return capacity_;
}

router_totals slot_router::Totals(base::time_point now) const {
  router_totals totals;
  totals.free = FreeSlots(now);
  totals.in_use = in_use_;
  totals.lent = lender_.lent();
  totals.borrowed = borrower_.borrowed();
  totals.quarantined = lender_.quarantined();
  for (const auto& [id, known] : upstreams_) {
    if (!known.takes_requests)
      continue;
    ++totals.upstreams;
    totals.ejected += known.health.IsEjected(now) ? 1 : 0;
  }
  return totals;
}

}  // namespace chivecrank::routing
