#include "chivecrank/ownership/session.h"

#include <utility>

namespace chivecrank::ownership {

session::session(coordination::store& store,
                 base::clock& clock,
                 session_settings settings,
                 std::string run,
                 std::string instance)
    : store_(store),
      clock_(clock),
      settings_(settings),
      run_(std::move(run)),
      instance_(std::move(instance)) {}

base::result<void> session::Renew() {
  if (lease_ == 0)
    return Begin();
  // The term counts from before the call, since the store may have counted
  // it from any moment after that.
  const base::time_point sent = clock_.Now();
  const auto renewed = store_.RenewLease(lease_);
  if (renewed.has_value()) {
    held_->Extend(sent + settings_.term - settings_.clock_margin);
    return base::Success();
  }
  if (renewed.error().kind == base::error_kind::kNotFound) {
    lease_ = 0;
    held_->MarkExpired();
  }
  return renewed.error();
}

base::result<void> session::Begin() {
  const base::time_point sent = clock_.Now();
  BOOST_OUTCOME_TRY(granted, store_.GrantLease(settings_.term));
  ++generation_;
  holder_key_ = "holders/" + run_ + "-" + std::to_string(generation_);
  BOOST_OUTCOME_TRY(store_.Put(coordination::call_class::kOwnership,
                               {holder_key_, instance_, 0, granted}));
  lease_ = granted;
  held_ = std::make_shared<protocol::ownership_lease>(settings_.outage_grace);
  held_->Extend(sent + settings_.term - settings_.clock_margin);
  return base::Success();
}

bool session::IsValid() const {
  return held_ &&
         held_->GetAuthority(clock_.Now()) == protocol::authority::kFull;
}

void session::End() {
  if (held_)
    held_->Release();
  if (lease_ == 0)
    return;
  // When this fails the lease ends by itself after its term.
  static_cast<void>(store_.RevokeLease(lease_));
  lease_ = 0;
}

}  // namespace chivecrank::ownership
