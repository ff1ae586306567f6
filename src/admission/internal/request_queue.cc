#include "chivecrank/admission/request_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chivecrank::admission {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter{10};
constexpr double kMsPerSecond = 1000;

/// Time reserved for the answer of a request that has waited. A request whose
/// answer misses the deadline would block its slot for long.
milliseconds ReservedAnswerTime(const service_capacity& capacity) {
  return std::max(capacity.latency, capacity.tail_latency);
}

milliseconds RetryAfter(milliseconds wait) {
  return std::max(kMinRetryAfter, wait);
}

}  // namespace

request_queue::request_queue(const queue_options& options)
    : options_(options) {}

admission_decision request_queue::Admit(const admission_request& request,
                                        const service_capacity& capacity,
                                        base::time_point now) {
  account_state& account = accounts_[request.account];
  account.weight =
      static_cast<double>(std::max<std::int64_t>(1, request.weight));
  // An account without waiting requests must not accumulate credit for the
  // capacity that it did not use.
  if (account.queue.empty())
    account.weighted_served = std::max(account.weighted_served, served_floor_);
  admission_decision decision;
  decision.refused.number = request.number;
  const milliseconds wait = ExpectedWaitOf(account, capacity, now);
  const auto in_progress = account.in_flight + std::ssize(account.queue);
  if (in_progress >= request.account_limit) {
    decision.refused.reason = refusal_reason::kAccountLimit;
    decision.refused.retry_after =
        RetryAfter(account.queue.empty() ? capacity.latency : wait);
    return decision;
  }
  // A request that has to wait also needs time for a slow answer. One that need
  // not wait is admitted if an ordinary answer arrives in time.
  const milliseconds latency =
      wait.count() > 0 ? ReservedAnswerTime(capacity) : capacity.latency;
  const base::time_point answered = now + wait + latency;
  if (answered > request.deadline) {
    decision.refused.reason = refusal_reason::kTooLate;
    decision.refused.retry_after = RetryAfter(
        std::chrono::ceil<milliseconds>(answered - request.deadline));
    return decision;
  }
  if (waiting_ >= options_.queue_limit) {
    decision.evicted = Evict(account, capacity, now);
    if (decision.evicted.reason == refusal_reason::kNone) {
      decision.refused.reason = refusal_reason::kQueueFull;
      decision.refused.retry_after = RetryAfter(wait);
      return decision;
    }
  }
  account.queue.emplace(order_key{request.deadline, request.number}, now);
  ++waiting_;
  return decision;
}

std::optional<request_number> request_queue::Pop(base::time_point now) {
  const auto chosen = ChooseAccount();
  if (chosen == accounts_.end())
    return std::nullopt;
  account_state& account = accounts_.at(chosen->first);
  const auto first = account.queue.begin();
  const request_number number = first->first.second;
  if (first->second < now)
    rate_.RecordDequeue(now);
  account.queue.erase(first);
  --waiting_;
  served_floor_ = std::max(served_floor_, LeastServed());
  account.weighted_served += 1 / account.weight;
  ++account.in_flight;
  return number;
}

std::optional<waiting_request> request_queue::Next() const {
  const auto chosen = ChooseAccount();
  if (chosen == accounts_.end())
    return std::nullopt;
  const auto& [deadline, number] = chosen->second.queue.begin()->first;
  return waiting_request{number, deadline};
}

request_queue::account_map::const_iterator request_queue::ChooseAccount()
    const {
  const double least = LeastServed();
  auto best = accounts_.end();
  for (auto at = accounts_.begin(); at != accounts_.end(); ++at) {
    const account_state& account = at->second;
    if (account.queue.empty())
      continue;
    if (account.weighted_served > least + options_.fairness_window)
      continue;
    if (best == accounts_.end() ||
        account.queue.begin()->first < best->second.queue.begin()->first) {
      best = at;
    }
  }
  return best;
}

double request_queue::LeastServed() const {
  double least = std::numeric_limits<double>::max();
  for (const auto& [name, account] : accounts_) {
    if (!account.queue.empty())
      least = std::min(least, account.weighted_served);
  }
  return waiting_ == 0 ? served_floor_ : least;
}

refusal request_queue::Evict(const account_state& requester,
                             const service_capacity& capacity,
                             base::time_point now) {
  account_state* largest = nullptr;
  for (auto& [name, account] : accounts_) {
    if (largest == nullptr ||
        account.WeightedQueueLength() > largest->WeightedQueueLength())
      largest = &account;
  }
  // Otherwise the requester would itself be the account above its share.
  if (largest == nullptr ||
      largest->WeightedQueueLength() <= requester.WeightedQueueLength() + 1)
    return {};
  const auto last = std::prev(largest->queue.end());
  const refusal evicted{last->first.second, refusal_reason::kQueueFull,
                        RetryAfter(ExpectedWaitOf(*largest, capacity, now))};
  largest->queue.erase(last);
  --waiting_;
  return evicted;
}

void request_queue::Finish(const std::string& account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end())
    return;
  --found->second.in_flight;
}

std::vector<refusal> request_queue::TakeInfeasible(
    const service_capacity& capacity,
    base::time_point now) {
  std::vector<refusal> infeasible;
  for (auto& [name, account] : accounts_) {
    while (!account.queue.empty()) {
      const auto first = account.queue.begin();
      const milliseconds latency =
          first->second < now ? ReservedAnswerTime(capacity) : capacity.latency;
      if (first->first.first >= now + latency)
        break;
      infeasible.push_back(
          {first->first.second, refusal_reason::kTooLate,
           RetryAfter(ExpectedWaitOf(account, capacity, now))});
      account.queue.erase(first);
      --waiting_;
    }
  }
  return infeasible;
}

milliseconds request_queue::ExpectedWait(const service_capacity& capacity,
                                         base::time_point now) {
  const double rate = rate_.RequestsPerSecond(capacity, now);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(waiting_) /
                                                rate * kMsPerSecond));
}

milliseconds request_queue::ExpectedWaitOf(const account_state& account,
                                           const service_capacity& capacity,
                                           base::time_point now) {
  double weights = account.queue.empty() ? account.weight : 0;
  for (const auto& [name, other] : accounts_) {
    if (!other.queue.empty())
      weights += other.weight;
  }
  // With its fair share of the drain rate, an account waits only for its own
  // queue. It never waits for more than the whole queue.
  const auto own = static_cast<double>(std::ssize(account.queue));
  const double by_share = own * weights / account.weight;
  const double ahead = std::min(static_cast<double>(waiting_), by_share);
  const double rate = rate_.RequestsPerSecond(capacity, now);
  return milliseconds(
      static_cast<std::int64_t>(std::ceil(ahead / rate * kMsPerSecond)));
}

}  // namespace chivecrank::admission
