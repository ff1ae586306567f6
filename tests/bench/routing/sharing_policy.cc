#include "sharing_policy.h"

#include <optional>

namespace chivecrank::bench {
namespace {

constexpr std::chrono::milliseconds kTick{5};
constexpr std::chrono::milliseconds kExchangePause{1};
constexpr std::chrono::milliseconds kPeerTimeout{250};
constexpr std::int64_t kAccountLimit = 100'000;
constexpr std::int64_t kQueueLimit = 1024;

std::string AccountName(int account) {
  return std::to_string(account);
}

}  // namespace

sharing_policy::entry_state::entry_state(const routing::entry_position& share,
                                         const routing::router_options& options)
    : index(static_cast<int>(share.index)),
      router(share, options, {}),
      queue({kQueueLimit * kEntries / share.count}) {}

sharing_policy::sharing_policy(const run_context& context,
                               const sharing_variant& variant)
    : context_(context), variant_(variant), ended_(context.arrivals.size()) {
  routing::router_options options;
  options.sharing.lending = variant.lending;
  routing::entry_position share;
  share.count = variant.entries;
  for (int i = 0; variant.by_domain && i < variant.entries; ++i)
    share.failure_domains.push_back(std::to_string(EntryDomain(i)));
  for (int i = 0; i < variant.entries; ++i) {
    share.index = i;
    entries_.push_back(std::make_unique<entry_state>(share, options));
  }
  Update();
  Tick();
}

void sharing_policy::Tick() {
  for (const auto& at : entries_) {
    if (at->alive)
      Pump(*at);
  }
  context_.events.After(kTick, [this] { Tick(); });
}

void sharing_policy::Arrive(std::size_t request, int entry) {
  const std::size_t index =
      variant_.knows_all ? 0 : static_cast<std::size_t>(entry);
  entry_state& at = *entries_[index];
  Admit(at, request);
  Pump(at);
}

void sharing_policy::Admit(entry_state& at, std::size_t request) {
  const arrival& from = context_.arrivals[request];
  const admission::admission_decision decision =
      at.queue.Admit({request, AccountName(from.account), 1, kAccountLimit,
                      from.at + kDeadline - kFarHop},
                     Capacity(at), context_.events.Now());
  if (!decision.IsAdmitted())
    Refuse(decision.refused);
  if (decision.evicted.reason != admission::refusal_reason::kNone)
    Refuse(decision.evicted);
}

void sharing_policy::Refuse(const admission::refusal& refused) {
  context_.events.After(kFarHop, [this, number = refused.number] {
    context_.callers.Refused(number);
  });
}

void sharing_policy::Pump(entry_state& at) {
  const base::time_point now = context_.events.Now();
  for (const auto& late : at.queue.TakeInfeasible(Capacity(at), now))
    Refuse(late);
  while (const auto first = at.queue.Next()) {
    const auto ticket = at.router.Acquire(
        {first->deadline, at.queue.ExpectedWait(Capacity(at), now), ""}, now);
    if (!ticket)
      break;
    Send(at, *at.queue.Pop(now), *ticket);
  }
  Exchange(at);
}

void sharing_policy::Send(entry_state& at,
                          std::size_t request,
                          const routing::slot_ticket& ticket) {
  const int worker = std::stoi(ticket.upstream.id);
  const base::duration hop =
      Hop(EntryDomain(at.index), fleet::DomainOf(worker));
  const base::duration known_hop = variant_.knows_all ? base::duration{} : hop;
  ended_[request] = false;
  const arrival& from = context_.arrivals[request];
  context_.events.After(known_hop, [=, this, &at] {
    const bool started =
        context_.workers.Start(worker, from.work, [=, this, &at] {
          context_.events.After(known_hop, [=, this, &at] {
            if (ended_[request])
              return;
            Finish(at, request, ticket, routing::slot_outcome::kAnswered);
            const base::duration rest = kFarHop + 2 * (hop - known_hop);
            if (at.alive) {
              context_.events.After(
                  rest, [=, this] { context_.callers.Answered(request); });
            }
          });
        });
    if (started)
      return;
    context_.events.After(kConnectTimeout, [=, this, &at] {
      if (ended_[request])
        return;
      Finish(at, request, ticket, routing::slot_outcome::kUnreachable);
      if (at.alive)
        Admit(at, request);
    });
  });
  context_.events.At(from.at + kDeadline, [=, this, &at] {
    if (!ended_[request])
      Finish(at, request, ticket, routing::slot_outcome::kAbandoned);
  });
}

void sharing_policy::Finish(entry_state& at,
                            std::size_t request,
                            const routing::slot_ticket& ticket,
                            routing::slot_outcome outcome) {
  ended_[request] = true;
  at.router.Release(ticket, outcome, context_.events.Now());
  at.queue.Finish(AccountName(context_.arrivals[request].account));
  if (at.alive)
    Pump(at);
}

void sharing_policy::Exchange(entry_state& at) {
  const base::time_point now = context_.events.Now();
  if (now < at.next_exchange)
    return;
  at.next_exchange = now + kExchangePause;
  for (const auto& message : at.router.PlanExchanges(at.queue.waiting(), now))
    Deliver(at, message);
}

void sharing_policy::Deliver(entry_state& from,
                             const routing::outgoing_exchange& message) {
  ++messages_;
  entry_state& to = *entries_[static_cast<std::size_t>(message.lender)];
  const base::duration hop =
      Hop(EntryDomain(from.index), EntryDomain(to.index));
  context_.events.After(hop, [=, this, &from, &to] {
    std::optional<routing::exchange_answer> answer;
    if (to.alive) {
      answer = to.router.HandleRequest(message.request, to.queue.waiting(),
                                       context_.events.Now());
      Pump(to);
    }
    const base::duration back = to.alive ? hop : kPeerTimeout;
    context_.events.After(back, [=, this, &from] {
      from.router.HandleAnswer(message, answer, context_.events.Now());
      if (from.alive)
        Pump(from);
    });
  });
}

void sharing_policy::Update() {
  for (const auto& at : entries_)
    at->router.Update(context_.workers.List(), context_.events.Now());
}

void sharing_policy::LoseDomain(int domain) {
  for (const auto& at : entries_) {
    if (!variant_.knows_all && EntryDomain(at->index) == domain)
      at->alive = false;
  }
}

admission::service_capacity sharing_policy::Capacity(entry_state& at) const {
  return {at.router.Capacity(context_.events.Now()), at.router.MedianLatency(),
          at.router.TailLatency()};
}

}  // namespace chivecrank::bench
