#include "chivecrank/coordination/resilient_store.h"

#include <algorithm>

namespace chivecrank::coordination {
namespace {

bool Unanswered(base::error_kind kind) {
  return kind == base::error_kind::kUnavailable ||
         kind == base::error_kind::kOutcomeUnknown ||
         kind == base::error_kind::kTimeout;
}

base::error NotSent(call_class purpose, const std::string& reason) {
  return {base::error_kind::kUnavailable,
          "a store call of the class " + std::string(CallClassName(purpose)) +
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
      budgets_{call_budget(settings.ownership), call_budget(settings.journal),
               call_budget(settings.intent),
               call_budget(settings.configuration),
               call_budget(settings.watch)},
      circuit_(settings.circuit, settings.seed) {}

base::result<void> resilient_store::Admit(call_class purpose) {
  const base::time_point now = clock_.Now();
  const base::time_point latest = now + settings_.deadline;
  base::time_point goes;
  {
    std::lock_guard lock(mutex_);
    if (purpose != call_class::kOwnership && !circuit_.Allows(now)) {
      metrics_.Refused(purpose, "circuit");
      return NotSent(purpose, "the store does not answer");
    }
    goes = budgets_.at(static_cast<std::size_t>(purpose)).Reserve(now, latest);
  }
  if (goes > latest) {
    metrics_.Refused(purpose, "budget");
    return NotSent(purpose, "its budget is used up");
  }
  if (goes > now)
    clock_.SleepUntil(goes);
  return base::Success();
}

void resilient_store::Ended(call_class purpose,
                            const std::string& operation,
                            const base::error* failure,
                            base::time_point began) {
  const base::time_point now = clock_.Now();
  metrics_.Ended(purpose, operation,
                 failure == nullptr
                     ? "ok"
                     : std::string(base::ErrorKindName(failure->kind)),
                 now - began);
  std::lock_guard lock(mutex_);
  circuit_.Ended(failure == nullptr || !Unanswered(failure->kind), now);
  metrics_.SetCircuitOpen(circuit_.IsOpen());
}

template <class Call>
auto resilient_store::Run(call_class purpose,
                          const std::string& operation,
                          const Call& call) -> decltype(call()) {
  BOOST_OUTCOME_TRY(Admit(purpose));
  const base::time_point began = clock_.Now();
  auto answer = call();
  Ended(purpose, operation, answer.has_value() ? nullptr : &answer.error(),
        began);
  return answer;
}

template <class Call>
auto resilient_store::Read(call_class purpose,
                           const std::string& operation,
                           const Call& call) -> decltype(call()) {
  const base::time_point end = clock_.Now() + settings_.deadline;
  std::chrono::milliseconds pause = settings_.retry_pause;
  for (int attempt = 1;; ++attempt) {
    auto answer = Run(purpose, operation, call);
    const bool final = answer.has_value() || !Unanswered(answer.error().kind) ||
                       attempt == settings_.read_attempts ||
                       clock_.Now() + pause >= end;
    if (final)
      return answer;
    clock_.SleepUntil(clock_.Now() + pause);
    pause *= 2;
  }
}

base::result<std::optional<store_entry>> resilient_store::Get(
    call_class purpose,
    const std::string& key) {
  return Read(purpose, "get", [&] { return inner_.Get(purpose, key); });
}

base::result<version> resilient_store::Put(call_class purpose,
                                           const put_request& write) {
  auto written =
      Run(purpose, "put", [&] { return inner_.Put(purpose, write); });
  const bool lost = !written.has_value() &&
                    written.error().kind == base::error_kind::kOutcomeUnknown;
  if (!lost)
    return written;
  const auto held = Get(purpose, write.key);
  const bool took_effect = held.has_value() && held.value() &&
                           held.value()->version > write.expected &&
                           held.value()->value == write.value &&
                           held.value()->lease == write.lease;
  if (!took_effect)
    return written;
  metrics_.ReadBack(purpose);
  return held.value()->version;
}

base::result<void> resilient_store::Delete(call_class purpose,
                                           const std::string& key,
                                           version expected) {
  return Run(purpose, "delete",
             [&] { return inner_.Delete(purpose, key, expected); });
}

base::result<store_listing> resilient_store::List(call_class purpose,
                                                  const std::string& prefix) {
  return Read(purpose, "list", [&] { return inner_.List(purpose, prefix); });
}

base::result<watch_answer> resilient_store::Watch(
    const watch_request& request) {
  {
    std::lock_guard lock(mutex_);
    if (waiting_watches_ >= settings_.waiting_watches) {
      metrics_.Refused(call_class::kWatch, "waiting watches");
      return NotSent(call_class::kWatch, "too many watches wait already");
    }
    metrics_.SetWaitingWatches(++waiting_watches_);
  }
  auto answer =
      Run(call_class::kWatch, "watch", [&] { return inner_.Watch(request); });
  std::lock_guard lock(mutex_);
  metrics_.SetWaitingWatches(--waiting_watches_);
  return answer;
}

base::result<lease_id> resilient_store::GrantLease(
    std::chrono::milliseconds term) {
  return Run(call_class::kOwnership, "lease/grant",
             [&] { return inner_.GrantLease(term); });
}

base::result<void> resilient_store::RenewLease(lease_id lease) {
  return Run(call_class::kOwnership, "lease/renew",
             [&] { return inner_.RenewLease(lease); });
}

base::result<void> resilient_store::RevokeLease(lease_id lease) {
  return Run(call_class::kOwnership, "lease/revoke",
             [&] { return inner_.RevokeLease(lease); });
}

}  // namespace chivecrank::coordination
