#include "chivecrank/entries/slot_pool.h"

#include <utility>

namespace chivecrank::entries {
namespace {

/// Interval at which each waiting request checks its deadline by itself, and at
/// which ReturnBorrowed checks whether all slots are returned.
constexpr std::chrono::milliseconds kPollInterval{10};

}  // namespace

slot_pool::slot_pool(base::clock& clock,
                     const routing::entry_position& position,
                     const routing::router_options& options,
                     bool has_predecessor)
    : clock_(clock),
      usable_from_(clock.Now() + (has_predecessor
                                      ? options.sharing.ReclaimDelay()
                                      : std::chrono::milliseconds{0})),
      router_(position, options, usable_from_) {}

void slot_pool::Update(const std::vector<coordination::instance>& upstreams) {
  std::lock_guard lock(mutex_);
  const base::time_point now = clock_.Now();
  router_.Update(upstreams, now);
  ServeWaiting(now);
}

slot_result slot_pool::Acquire(const slot_demand& demand) {
  std::unique_lock lock(mutex_);
  const base::time_point now = clock_.Now();
  const auto [queue, is_new] = queues_.try_emplace(
      demand.service, admission::queue_options{demand.queue_limit});
  queue->second.SetOptions({demand.queue_limit});
  const admission::request_number number = ++last_number_;
  waiter self;
  self.demand = &demand;
  waiters_[number] = &self;
  const admission::admission_decision decision =
      queue->second.Admit({number, demand.account, demand.weight,
                           demand.account_limit, demand.deadline},
                          CurrentCapacity(now), now);
  if (decision.evicted.reason != admission::refusal_reason::kNone)
    Refuse(decision.evicted);
  if (!decision.IsAdmitted())
    Refuse(decision.refused);
  ServeWaiting(now);
  while (!self.decided) {
    self.wake_up.wait_for(lock, kPollInterval);
    ServeWaiting(clock_.Now());
  }
  waiters_.erase(number);
  return self.answer;
}

void slot_pool::Release(const held_slot& slot, routing::slot_outcome outcome) {
  std::lock_guard lock(mutex_);
  const base::time_point now = clock_.Now();
  router_.Release(slot.ticket, outcome, now);
  const auto queue = queues_.find(slot.service);
  if (queue != queues_.end())
    queue->second.Finish(slot.account);
  ServeWaiting(now);
}

void slot_pool::ServeWaiting(base::time_point now) {
  for (auto& [service, queue] : queues_) {
    for (const auto& infeasible :
         queue.TakeInfeasible(CurrentCapacity(now), now))
      Refuse(infeasible);
  }
  for (auto next = QueueWithEarliestDeadline(); next != queues_.end();
       next = QueueWithEarliestDeadline()) {
    admission::request_queue& queue = next->second;
    const admission::waiting_request first = *queue.Next();
    const waiter& waiting = *waiters_.at(first.number);
    const auto ticket = router_.Acquire(
        {first.deadline, queue.ExpectedWait(CurrentCapacity(now), now),
         waiting.demand->excluded_upstream_id},
        now);
    if (!ticket)
      break;
    queue.Pop(now);
    ++totals_.admitted;
    Decide(first.number,
           {held_slot{*ticket, next->first, waiting.demand->account}, {}});
  }
  if (CountWaiting() > 0)
    shortage_.notify_one();
}

slot_pool::queue_map::iterator slot_pool::QueueWithEarliestDeadline() {
  auto best = queues_.end();
  base::time_point earliest = base::time_point::max();
  for (auto queue = queues_.begin(); queue != queues_.end(); ++queue) {
    const auto first = queue->second.Next();
    if (!first || first->deadline >= earliest)
      continue;
    best = queue;
    earliest = first->deadline;
  }
  return best;
}

void slot_pool::Refuse(const admission::refusal& refused) {
  switch (refused.reason) {
    case admission::refusal_reason::kNone:
      break;
    case admission::refusal_reason::kAccountLimit:
      ++totals_.refused_account_limit;
      break;
    case admission::refusal_reason::kQueueFull:
      ++totals_.refused_queue_full;
      break;
    case admission::refusal_reason::kTooLate:
      ++totals_.refused_too_late;
      break;
  }
  Decide(refused.number, {std::nullopt, refused});
}

void slot_pool::Decide(admission::request_number number, slot_result answer) {
  waiter& decided = *waiters_.at(number);
  decided.answer = std::move(answer);
  decided.decided = true;
  decided.wake_up.notify_one();
}

admission::service_capacity slot_pool::CurrentCapacity(base::time_point now) {
  return {router_.Capacity(now), router_.MedianLatency(),
          router_.TailLatency()};
}

std::int64_t slot_pool::CountWaiting() const {
  std::int64_t waiting = 0;
  for (const auto& [service, queue] : queues_)
    waiting += queue.waiting();
  return waiting;
}

void slot_pool::RecordProbeAnswer(const std::string& upstream_id,
                                  base::time_point sent) {
  std::lock_guard lock(mutex_);
  router_.RecordProbeAnswer(upstream_id, sent, clock_.Now());
}

std::vector<coordination::instance> slot_pool::UpstreamsToProbe() {
  std::lock_guard lock(mutex_);
  return router_.UpstreamsToProbe();
}

std::vector<routing::outgoing_exchange> slot_pool::PlanExchanges() {
  std::lock_guard lock(mutex_);
  const base::time_point now = clock_.Now();
  ServeWaiting(now);
  auto messages = router_.PlanExchanges(CountWaiting(), now);
  totals_.exchanges += std::ssize(messages);
  return messages;
}

routing::exchange_answer slot_pool::HandleRequest(
    const routing::exchange_request& request) {
  std::lock_guard lock(mutex_);
  const base::time_point now = clock_.Now();
  routing::exchange_answer answer =
      router_.HandleRequest(request, CountWaiting(), now);
  ServeWaiting(now);
  return answer;
}

void slot_pool::HandleAnswer(
    const routing::outgoing_exchange& sent,
    const std::optional<routing::exchange_answer>& answer) {
  std::lock_guard lock(mutex_);
  const base::time_point now = clock_.Now();
  if (!answer)
    ++totals_.failed_exchanges;
  router_.HandleAnswer(sent, answer, now);
  ServeWaiting(now);
}

void slot_pool::WaitForShortage(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  if (CountWaiting() == 0)
    shortage_.wait_for(lock, timeout);
}

void slot_pool::ReturnBorrowed(std::chrono::milliseconds timeout) {
  const base::time_point end = clock_.Now() + timeout;
  {
    std::lock_guard lock(mutex_);
    router_.StopBorrowing(clock_.Now());
  }
  while (clock_.Now() < end && Totals().router.borrowed > 0)
    clock_.SleepUntil(clock_.Now() + kPollInterval);
}

bool slot_pool::IsUsable() const {
  return clock_.Now() >= usable_from_;
}

pool_totals slot_pool::Totals() {
  std::lock_guard lock(mutex_);
  pool_totals totals = totals_;
  totals.router = router_.Totals(clock_.Now());
  totals.waiting = CountWaiting();
  return totals;
}

}  // namespace chivecrank::entries
