#include "chivecrank/coordination/resilient_store.h"

#include <algorithm>

namespace chivecrank::coordination {
namespace {

bool IsUnanswered(base::error_kind kind) {
  return kind == base::error_kind::kUnavailable ||
         kind == base::error_kind::kOutcomeUnknown ||
         kind == base::error_kind::kTimeout;
}

base::error NotSentError(call_class purpose, const std::string& reason) {
  return {base::error_kind::kUnavailable,
          "store call of class " + std::string(CallClassName(purpose)) +
              " was not sent: " + reason,
          "try again later"};
}

}  // namespace

resilient_store::resilient_store(store& inner,
                                 base::clock& clock,
                                 store_metrics& metrics,
                                 resilient_store_settings settings)
    : inner_(inner),
      clock_(clock),
      metrics_(metrics),
      settings_(settings),
      rate_limiters_{
          rate_limiter(settings.ownership), rate_limiter(settings.journal),
          rate_limiter(settings.intent), rate_limiter(settings.configuration),
          rate_limiter(settings.watch)},
      circuit_breaker_(settings.circuit_breaker, settings.seed) {}

base::result<void> resilient_store::Admit(call_class purpose) {
  const base::time_point now = clock_.Now();
  const base::time_point latest = now + settings_.deadline;
  base::time_point send_at;
  {
    std::lock_guard lock(mutex_);
    if (purpose != call_class::kOwnership &&
        !circuit_breaker_.AllowsCall(now)) {
      metrics_.RecordRejectedCall(purpose, "circuit");
      return NotSentError(
          purpose,
          "the circuit breaker is open because the store does not answer");
    }
    send_at = rate_limiters_.at(static_cast<std::size_t>(purpose))
                  .Reserve(now, latest);
  }
  if (send_at > latest) {
    metrics_.RecordRejectedCall(purpose, "budget");
    return NotSentError(purpose, "the rate limit of the class is exhausted");
  }
  if (send_at > now)
    clock_.SleepUntil(send_at);
  return base::Success();
}

void resilient_store::RecordOutcome(call_class purpose,
                                    const std::string& operation,
                                    const base::error* failure,
                                    base::time_point started_at) {
  const base::time_point now = clock_.Now();
  metrics_.RecordCall(purpose, operation,
                      failure == nullptr
                          ? "ok"
                          : std::string(base::ErrorKindName(failure->kind)),
                      now - started_at);
  std::lock_guard lock(mutex_);
  circuit_breaker_.RecordResult(
      failure == nullptr || !IsUnanswered(failure->kind), now);
  metrics_.SetCircuitOpen(circuit_breaker_.IsOpen());
}

template <class Call>
auto resilient_store::SendOnce(call_class purpose,
                               const std::string& operation,
                               const Call& call) -> decltype(call()) {
  BOOST_OUTCOME_TRY(Admit(purpose));
  const base::time_point started_at = clock_.Now();
  auto answer = call();
  RecordOutcome(purpose, operation,
                answer.has_value() ? nullptr : &answer.error(), started_at);
  return answer;
}

template <class Call>
auto resilient_store::SendWithRetries(call_class purpose,
                                      const std::string& operation,
                                      const Call& call) -> decltype(call()) {
  const base::time_point end = clock_.Now() + settings_.deadline;
  std::chrono::milliseconds delay = settings_.initial_retry_delay;
  for (int attempt = 1;; ++attempt) {
    auto answer = SendOnce(purpose, operation, call);
    const bool final =
        answer.has_value() || !IsUnanswered(answer.error().kind) ||
        attempt == settings_.max_read_attempts || clock_.Now() + delay >= end;
    if (final)
      return answer;
    clock_.SleepUntil(clock_.Now() + delay);
    delay *= 2;
  }
}

base::result<std::optional<store_entry>> resilient_store::Get(
    call_class purpose,
    const std::string& key) {
  return SendWithRetries(purpose, "get",
                         [&] { return inner_.Get(purpose, key); });
}

base::result<version> resilient_store::Put(call_class purpose,
                                           const put_request& write) {
  auto written =
      SendOnce(purpose, "put", [&] { return inner_.Put(purpose, write); });
  const bool response_lost =
      !written.has_value() &&
      written.error().kind == base::error_kind::kOutcomeUnknown;
  if (!response_lost)
    return written;
  const auto current = Get(purpose, write.key);
  const bool took_effect = current.has_value() && current.value() &&
                           current.value()->version > write.expected &&
                           current.value()->value == write.value &&
                           current.value()->lease == write.lease;
  if (!took_effect)
    return written;
  metrics_.RecordReadBack(purpose);
  return current.value()->version;
}

base::result<void> resilient_store::Delete(call_class purpose,
                                           const std::string& key,
                                           version expected) {
  return SendOnce(purpose, "delete",
                  [&] { return inner_.Delete(purpose, key, expected); });
}

base::result<store_listing> resilient_store::List(call_class purpose,
                                                  const std::string& prefix) {
  return SendWithRetries(purpose, "list",
                         [&] { return inner_.List(purpose, prefix); });
}

base::result<watch_answer> resilient_store::Watch(
    const watch_request& request) {
  {
    std::lock_guard lock(mutex_);
    if (waiting_watches_ >= settings_.max_waiting_watches) {
      metrics_.RecordRejectedCall(call_class::kWatch, "waiting watches");
      return NotSentError(call_class::kWatch,
                          "the maximum number of watches is already waiting");
    }
    metrics_.SetWaitingWatches(++waiting_watches_);
  }
  auto answer = SendOnce(call_class::kWatch, "watch",
                         [&] { return inner_.Watch(request); });
  std::lock_guard lock(mutex_);
  metrics_.SetWaitingWatches(--waiting_watches_);
  return answer;
}

base::result<lease_id> resilient_store::GrantLease(
    std::chrono::milliseconds term) {
  return SendOnce(call_class::kOwnership, "lease/grant",
                  [&] { return inner_.GrantLease(term); });
}

base::result<void> resilient_store::RenewLease(lease_id lease) {
  return SendOnce(call_class::kOwnership, "lease/renew",
                  [&] { return inner_.RenewLease(lease); });
}

base::result<void> resilient_store::RevokeLease(lease_id lease) {
  return SendOnce(call_class::kOwnership, "lease/revoke",
                  [&] { return inner_.RevokeLease(lease); });
}

}  // namespace chivecrank::coordination
