#include "chivecrank/ownership/session.h"

#include <utility>

namespace chivecrank::ownership {

session::session(coordination::store& store,
                 base::clock& clock,
                 session_settings settings,
                 std::string process_run,
                 std::string instance)
    : store_(store),
      clock_(clock),
      settings_(settings),
      process_run_(std::move(process_run)),
      instance_(std::move(instance)) {}

base::result<void> session::Renew() {
  if (lease_ == 0)
    return Acquire();
  // The term is counted from before the call, because the store may have
  // started it at any time after the call was sent.
  const base::time_point sent_at = clock_.Now();
  const auto renewed = store_.RenewLease(lease_);
  if (renewed.has_value()) {
    ownership_lease_->Extend(sent_at + settings_.term - settings_.clock_margin);
    return base::Success();
  }
  if (renewed.error().kind == base::error_kind::kNotFound) {
    lease_ = 0;
    ownership_lease_->MarkExpired();
  }
  return renewed.error();
}

base::result<void> session::Acquire() {
  const base::time_point sent_at = clock_.Now();
  BOOST_OUTCOME_TRY(lease, store_.GrantLease(settings_.term));
  ++generation_;
  holder_key_ = "holders/" + process_run_ + "-" + std::to_string(generation_);
  BOOST_OUTCOME_TRY(store_.Put(coordination::call_class::kOwnership,
                               {holder_key_, instance_, 0, lease}));
  lease_ = lease;
  ownership_lease_ =
      std::make_shared<protocol::ownership_lease>(settings_.outage_grace);
  ownership_lease_->Extend(sent_at + settings_.term - settings_.clock_margin);
  return base::Success();
}

bool session::IsValid() const {
  return ownership_lease_ && ownership_lease_->GetAuthority(clock_.Now()) ==
                                 protocol::authority::kFull;
}

void session::End() {
  if (ownership_lease_)
    ownership_lease_->Release();
  if (lease_ == 0)
    return;
  // If this fails, the lease expires after its term.
  static_cast<void>(store_.RevokeLease(lease_));
  lease_ = 0;
}

}  // namespace chivecrank::ownership
