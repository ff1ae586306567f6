#include "chivecrank/runtime/submission_revoker.h"

#include <utility>

#include "chivecrank/runtime/keys.h"

namespace chivecrank::runtime {
namespace {

/// A lease takes new revocations in this part of its term.
constexpr int kUsablePart = 4;

revoke_outcome OutcomeOf(const write_result& result) {
  switch (result.outcome) {
    case write_outcome::kWritten:
      return revoke_outcome::kRevoked;
    case write_outcome::kKeyExists:
      return revoke_outcome::kStored;
    case write_outcome::kNotWritten:
      return revoke_outcome::kUnavailable;
    case write_outcome::kUnknown:
      break;
  }
  return revoke_outcome::kOutcomeUnknown;
}

}  // namespace

submission_revoker::submission_revoker(reactor::event_loop& loop,
                                       metadata::store& store,
                                       event_log::event_log& log,
                                       const revoker_settings& settings)
    : loop_(loop),
      store_(store),
      log_(log),
      settings_(settings),
      writer_(loop,
              store,
              log,
              settings.writer,
              {.lease = [this] { return Lease(); },
               .on_lease_ended = [this] { lease_ = std::nullopt; }}),
      guard_(loop) {}

void submission_revoker::Revoke(const std::string& id,
                                base::time_point give_up_at,
                                std::function<void(revoke_outcome)> done) {
  // A revocation that exists is written again, so that this one lasts as long.
  writer_.Write({.write = {RevocationKey(id), "1"},
                 .absent_keys = {ToString({key_kind::kSubmission, id})},
                 .give_up_at = give_up_at,
                 .done = [done = std::move(done)](const write_result& result) {
                   done(OutcomeOf(result));
                 }});
}

std::optional<metadata::lease_id> submission_revoker::Lease() {
  if (lease_ && loop_.Now() < lease_->usable_until)
    return lease_->id;
  RequestLease();
  return std::nullopt;
}

void submission_revoker::RequestLease() {
  if (std::exchange(requesting_, true))
    return;
  store_.Grant(settings_.lease_term,
               guard_.Wrap([this, requested_at = loop_.Now()](
                               base::result<metadata::granted_lease> granted) {
                 requesting_ = false;
                 OnLease(requested_at, std::move(granted));
               }));
}

void submission_revoker::OnLease(
    base::time_point requested_at,
    base::result<metadata::granted_lease> granted) {
  if (granted) {
    lease_ = {granted.value().id,
              requested_at + granted.value().term / kUsablePart};
    return writer_.Resume();
  }
  log_.Write("store_write_failed",
             {{"call", "revoke_lease"}, {"error", granted.error().message}});
  if (granted.error().kind != base::error_kind::kOutcomeUnknown)
    return writer_.RejectUnsent();
  // A lease that was granted without an answer ends by itself.
  guard_.Later(settings_.retry, [this] { writer_.Resume(); });
}

}  // namespace chivecrank::runtime
