#include "chivecrank/routing/slot_router.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivecrank::routing {
namespace {

/// How much a filled upstream counts as slower than an empty one.
constexpr double kLoadWeight = 0.3;
constexpr std::chrono::milliseconds kTypicalPeriod{50};
constexpr std::chrono::milliseconds kCapacityPeriod{5};
/// Free slots that are kept for the entry's own next requests.
constexpr std::int64_t kSmallestReserve = 2;
constexpr std::int64_t kReserveDivisor = 12;
constexpr double kSilenceFactor = 2;

double ToMs(base::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

slot_router::slot_router(entry_position share,
                         const router_options& options,
                         base::time_point usable_from)
    : layout_(std::move(share)),
      options_(options),
      lender_(options.sharing, usable_from),
      borrower_(options.sharing) {
  for (std::int64_t place = 0; place < layout_.share().count; ++place) {
    if (place != layout_.share().index)
      peers_[place] = {};
  }
}

void slot_router::Update(const std::vector<coordination::instance>& upstreams,
                         base::time_point now) {
  for (auto& [id, known] : upstreams_)
    known.takes_requests = false;
  for (const coordination::instance& listed : upstreams) {
    if (listed.kind != coordination::instance_kind::kWorker)
      continue;
    const auto [place, is_new] = upstreams_.try_emplace(
        listed.id, upstream_state{listed, upstream_health(options_.health)});
    upstream_state& known = place->second;
    known.listed = listed;
    known.takes_requests = listed.state == coordination::instance_state::kLive;
    lender_.SetOwn(listed.id, layout_.OwnSlots(listed));
    // Upstreams of the first list have been there before this entry.
    if (is_new && has_list_)
      known.health.StartSlowly(now);
  }
  has_list_ = has_list_ || !upstreams.empty();
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
  lender_.Advance(now);
  LearnTypicalLatency(now);
  upstream_state* best = nullptr;
  for (auto& [id, known] : upstreams_) {
    if (best != nullptr && Cost(known) >= Cost(*best))
      continue;
    if (HasSlot(known, request, now) && IsWorthIt(known, request, now))
      best = &known;
  }
  if (best == nullptr)
    return std::nullopt;
  if (IsAvoided(*best, now))
    best->health.StartTrial(now);
  slot_ticket ticket{best->listed, {}, now};
  // Own slots first: borrowed ones that stay idle go back to their owner.
  const auto grant = borrower_.FindFree(best->listed.id, request.deadline, now);
  if (lender_.Free(best->listed.id, now) > 0) {
    lender_.Take(best->listed.id);
  } else {
    ticket.grant = *grant;
    borrower_.Take(*grant);
  }
  ++best->in_use;
  ++in_use_;
  if (!best->silent_since)
    best->silent_since = now;
  return ticket;
}

bool slot_router::HasSlot(const upstream_state& at,
                          const slot_request& request,
                          base::time_point now) const {
  const std::string& id = at.listed.id;
  if (!at.takes_requests || id == request.avoid)
    return false;
  if (at.in_use >= at.health.Allowed(at.listed.slots, now))
    return false;
  return lender_.Free(id, now) > 0 ||
         borrower_.FindFree(id, request.deadline, now).has_value();
}

bool slot_router::IsWorthIt(upstream_state& at,
                            const slot_request& request,
                            base::time_point now) {
  if (!IsAvoided(at, now)) {
    at.health.EndTrials();
    return true;
  }
  if (at.health.IsTrialDue(now))
    return true;
  const auto wait_ms = static_cast<double>(request.expected_wait.count());
  const bool silent = silence_counts_ && IsSilent(at, now);
  return !silent && at.health.LatencyMs() <= typical_ms_ + wait_ms;
}

bool slot_router::IsAvoided(const upstream_state& at,
                            base::time_point now) const {
  return IsSlow(at) || (silence_counts_ && IsSilent(at, now));
}

bool slot_router::IsSilent(const upstream_state& at,
                           base::time_point now) const {
  return at.silent_since && spread_.HighMs() > 0 &&
         ToMs(now - *at.silent_since) > kSilenceFactor * spread_.HighMs();
}

void slot_router::JudgeSilence(base::time_point now) {
  std::int64_t live = 0;
  std::int64_t silent = 0;
  for (const auto& [id, known] : upstreams_) {
    if (!known.takes_requests)
      continue;
    ++live;
    silent += IsSilent(known, now) ? 1 : 0;
  }
  silence_counts_ = static_cast<double>(silent) <=
                    options_.health.ejected_share * static_cast<double>(live);
}

bool slot_router::IsSlow(const upstream_state& at) const {
  return typical_ms_ > 0 &&
         at.health.LatencyMs() > options_.health.slow_factor * typical_ms_;
}

double slot_router::Cost(const upstream_state& at) const {
  const double load =
      static_cast<double>(at.in_use) /
      static_cast<double>(std::max<std::int64_t>(1, at.listed.slots));
  const double latency =
      at.health.HasLatency() ? at.health.LatencyMs() : typical_ms_;
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
    borrower_.GiveBack(ticket.grant, now);
  else if (abandoned)
    lender_.Abandon(id, now);
  else
    lender_.GiveBack(id);
  --in_use_;
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end())
    return;
  upstream_state& known = found->second;
  --known.in_use;
  if (known.in_use == 0)
    known.silent_since.reset();
  else if (outcome == slot_outcome::kAnswered)
    known.silent_since = now;
  known.health.Learn(outcome, now - ticket.taken);
  LearnTypicalLatency(now);
  if (outcome != slot_outcome::kAnswered) {
    EjectFailing(known, now);
    return;
  }
  lender_.ConfirmAnswer(id, ticket.taken, now);
  if (!IsSlow(known))
    spread_.Learn(ToMs(now - ticket.taken));
}

void slot_router::EjectFailing(upstream_state& at, base::time_point now) {
  if (!at.health.IsFailing() || at.health.IsEjected(now))
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
  const auto limit = static_cast<std::int64_t>(options_.health.ejected_share *
                                               static_cast<double>(live));
  if (limit == 0)
    return;
  if (ejected >= limit)
    soonest->health.TakeBack(now);
  at.health.Eject(now);
}

void slot_router::RecordProbeAnswer(const std::string& upstream_id,
                                    base::time_point sent,
                                    base::time_point now) {
  lender_.ConfirmAnswer(upstream_id, sent, now);
}

std::vector<coordination::instance> slot_router::UpstreamsToProbe() const {
  std::vector<coordination::instance> found;
  for (const std::string& id : lender_.AwaitingAnswer()) {
    const auto known = upstreams_.find(id);
    if (known != upstreams_.end() && known->second.takes_requests)
      found.push_back(known->second.listed);
  }
  return found;
}

void slot_router::LearnTypicalLatency(base::time_point now) {
  if (now < next_typical_)
    return;
  next_typical_ = now + kTypicalPeriod;
  JudgeSilence(now);
  std::vector<double> known;
  for (const auto& [id, at] : upstreams_) {
    if (at.takes_requests && at.health.HasLatency())
      known.push_back(at.health.LatencyMs());
  }
  if (known.empty())
    return;
  const auto middle = known.begin() + std::ssize(known) / 2;
  std::nth_element(known.begin(), middle, known.end());
  typical_ms_ = *middle;
}

void slot_router::StopBorrowing(base::time_point now) {
  borrowing_ = false;
  borrower_.EndAll(now);
}

std::vector<outgoing_exchange> slot_router::PlanExchanges(
    std::int64_t waiting,
    base::time_point now) {
  std::vector<outgoing_exchange> messages;
  if (!options_.sharing.lending)
    return messages;
  lender_.Advance(now);
  borrower_.Advance(now);
  LearnTypicalLatency(now);
  const std::int64_t free = FreeSlots(now);
  const std::int64_t excess = free - 3 * Reserve();
  if (waiting == 0 && excess > 0)
    borrower_.Shrink(excess, now);
  const std::int64_t lacking = waiting + Reserve() - free;
  std::map<std::int64_t, std::int64_t> wanted;
  if (borrowing_ && lacking > 0 && now >= next_ask_)
    wanted = DivideAmongLenders(lacking, now);
  if (!wanted.empty())
    next_ask_ = now + options_.sharing.ask_pause;
  for (const std::int64_t lender : borrower_.Due(now))
    wanted.try_emplace(lender, 0);
  for (const auto& [lender, slots] : wanted) {
    peer_state& peer = peers_[lender];
    if (peer.asked || now < peer.ask_again)
      continue;
    outgoing_exchange message{lender, {}, now};
    message.request.borrower = layout_.share().index;
    message.request.wanted = slots;
    borrower_.Fill(lender, message.request, now);
    message.request.spare = std::max<std::int64_t>(
        0, std::min(free - Reserve(), OwnFreeSlots(now)));
    peer.asked = true;
    messages.push_back(std::move(message));
  }
  return messages;
}

std::map<std::int64_t, std::int64_t> slot_router::DivideAmongLenders(
    std::int64_t slots,
    base::time_point now) const {
  struct offer {
    std::int64_t spare = 0;
    base::time_point refused_at;
    std::int64_t place = 0;
  };
  std::vector<offer> offers;
  for (const auto& [place, peer] : peers_) {
    if (!peer.asked && now >= peer.ask_again)
      offers.push_back(
          {peer.spare + lender_.LentTo(place), peer.refused_at, place});
  }
  // Of peers that seem to have as much, the one that refused last comes last.
  std::ranges::sort(offers, [](const offer& left, const offer& right) {
    return std::tuple(-left.spare, left.refused_at, left.place) <
           std::tuple(-right.spare, right.refused_at, right.place);
  });
  std::map<std::int64_t, std::int64_t> wanted;
  for (const auto& [spare, refused_at, place] : offers) {
    if (slots <= 0)
      break;
    // What a peer last told may be old, so it is asked for some in any case.
    const std::int64_t asked =
        std::min(slots, std::max(spare, options_.sharing.smallest_request));
    wanted[place] = asked;
    slots -= asked;
  }
  return wanted;
}

exchange_answer slot_router::HandleRequest(const exchange_request& request,
                                           std::int64_t waiting,
                                           base::time_point now) {
  lender_.Advance(now);
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
  // One that asks has a better right to the slots that it lent itself.
  if (request.wanted > 0)
    borrower_.Recall(request.borrower, request.wanted);
  std::int64_t spare = FreeSlots(now) - Reserve() - waiting;
  if (request.wanted > 0 && spare > 0)
    LendTo(request, std::min(request.wanted, spare), answer, now);
  // What it has borrowed itself it can't lend.
  const std::int64_t left =
      std::min(FreeSlots(now) - Reserve() - waiting, OwnFreeSlots(now));
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
        known.in_use < known.health.Allowed(known.listed.slots, now);
    if (usable && !IsAvoided(known, now) && lender_.Free(id, now) > 0)
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
  peer.asked = false;
  if (!answer) {
    peer.spare = 0;
    peer.refused_at = now;
    peer.ask_again = now + options_.sharing.lease / 4;
    return;
  }
  for (const slot_grant& grant : answer->grants)
    borrower_.Add(sent.lender, grant, sent.sent);
  for (const std::uint64_t number : answer->renewed)
    borrower_.Renewed({sent.lender, number}, sent.sent);
  borrower_.Confirm(sent.lender, sent.request);
  peer.spare = answer->spare;
  const bool refused = sent.request.wanted > 0 && answer->grants.empty();
  if (refused)
    peer.refused_at = now;
  peer.ask_again = refused ? now + options_.sharing.refusal_pause : now;
}

std::int64_t slot_router::FreeSlots(base::time_point now) const {
  std::int64_t free = 0;
  for (const auto& [id, known] : upstreams_) {
    if (!known.takes_requests || IsAvoided(known, now))
      continue;
    const std::int64_t allowed =
        known.health.Allowed(known.listed.slots, now) - known.in_use;
    const std::int64_t held = lender_.Free(id, now) + borrower_.Free(id, now);
    free += std::max<std::int64_t>(0, std::min(allowed, held));
  }
  return free;
}

std::int64_t slot_router::OwnFreeSlots(base::time_point now) const {
  std::int64_t free = 0;
  for (const auto& [id, known] : upstreams_)
    if (known.takes_requests && !IsAvoided(known, now))
      free += lender_.Free(id, now);
  return free;
}

std::int64_t slot_router::Reserve() const {
  return std::max(kSmallestReserve, in_use_ / kReserveDivisor);
}

std::chrono::milliseconds slot_router::MedianLatency() const {
  return std::chrono::milliseconds(static_cast<std::int64_t>(typical_ms_));
}

std::chrono::milliseconds slot_router::TailLatency() const {
  return std::chrono::milliseconds(static_cast<std::int64_t>(spread_.HighMs()));
}

std::int64_t slot_router::Capacity(base::time_point now) {
  if (now >= next_capacity_) {
    capacity_ = FreeSlots(now) + in_use_;
    next_capacity_ = now + kCapacityPeriod;
  }
  return capacity_;
}

router_totals slot_router::Totals(base::time_point now) const {
  router_totals totals;
  totals.free = FreeSlots(now);
  totals.in_use = in_use_;
  totals.lent = lender_.lent();
  totals.borrowed = borrower_.borrowed();
  totals.held_back = lender_.held_back();
  for (const auto& [id, known] : upstreams_) {
    if (!known.takes_requests)
      continue;
    ++totals.upstreams;
    totals.ejected += known.health.IsEjected(now) ? 1 : 0;
  }
  return totals;
}

}  // namespace chivecrank::routing
