#include "chivecrank/idempotency/key_table.h"

namespace chivecrank::idempotency {
namespace {

/// Fraction of the retention time, in tenths, for which requests are sent
/// without a record after the last contact with the store. The rest covers
/// clocks that run at different rates and the response time of the store.
constexpr int kUnrecordedSendTenths = 9;

}  // namespace

key_table::key_table(std::chrono::milliseconds retention)
    : retention_(retention) {}

void key_table::Load(const std::vector<log_entry>& entries,
                     bool clean,
                     base::time_point now) {
  for (const log_entry& entry : entries)
    Apply(entry, now);
  for (auto& [id, known] : keys_) {
    known.intent_recorded = true;
    if (known.state == key_state::kInFlight && !clean)
      known.state = key_state::kUnknown;
  }
  if (!clean)
    records_incomplete_until_ = now + retention_;
  ownership_confirmed_at_ = now;
}

arrival_action key_table::Decide(const arrival& request, base::time_point now) {
  const auto found = keys_.find(request.request_id);
  if (found == keys_.end()) {
    if (MayLackRecords(now) && !request.is_first_attempt)
      return arrival_action::kUnknown;
    keys_[request.request_id] = {key_state::kInFlight,
                                 request.fingerprint,
                                 request.token,
                                 false,
                                 now,
                                 {}};
    return arrival_action::kRecord;
  }
  const key_record& known = found->second;
  if (known.fingerprint != request.fingerprint)
    return arrival_action::kMismatch;
  if (known.state == key_state::kCompleted)
    return arrival_action::kReplay;
  if (known.state == key_state::kInFlight) {
    return known.token == request.token ? arrival_action::kAdmitted
                                        : arrival_action::kWait;
  }
  return arrival_action::kUnknown;
}

void key_table::ConfirmIntent(const log_entry& intent) {
  const auto found = keys_.find(intent.request_id);
  if (found != keys_.end() && found->second.token == intent.token)
    found->second.intent_recorded = true;
}

void key_table::ConfirmOwnership(base::time_point at) {
  ownership_confirmed_at_ = at;
}

bool key_table::MaySend(const arrival& request,
                        bool record_is_slow,
                        base::time_point now) const {
  const auto found = keys_.find(request.request_id);
  if (found == keys_.end() || found->second.token != request.token ||
      found->second.state != key_state::kInFlight) {
    return false;
  }
  if (found->second.intent_recorded)
    return true;
  if (!request.is_first_attempt || !record_is_slow || !ownership_confirmed_at_)
    return false;
  return now <
         *ownership_confirmed_at_ + retention_ * kUnrecordedSendTenths / 10;
}

bool key_table::Finish(const log_entry& outcome, base::time_point now) {
  const auto found = keys_.find(outcome.request_id);
  const bool known = found != keys_.end();
  if (known && found->second.fingerprint != outcome.fingerprint)
    return false;
  if (known && found->second.state == key_state::kCompleted)
    return false;
  const bool withdrawn = outcome.kind == log_entry_kind::kWithdrawn;
  // A delayed or repeated withdrawal must not undo another arrival.
  if (withdrawn && (!known || found->second.token != outcome.token ||
                    found->second.state != key_state::kInFlight)) {
    return false;
  }
  Apply(outcome, now);
  return true;
}

std::vector<log_entry> key_table::IntentsInFlight() const {
  std::vector<log_entry> intents;
  for (const auto& [id, known] : keys_) {
    if (known.state == key_state::kInFlight) {
      intents.push_back(
          {log_entry_kind::kIntent, id, known.fingerprint, known.token, {}});
    }
  }
  return intents;
}

key_state key_table::StateOf(const std::string& request_id) const {
  const auto found = keys_.find(request_id);
  return found == keys_.end() ? key_state::kAbsent : found->second.state;
}

bool key_table::MayLackRecords(base::time_point now) const {
  return records_incomplete_until_ && now < *records_incomplete_until_;
}

const http::response* key_table::AnswerOf(const std::string& request_id) const {
  const auto found = keys_.find(request_id);
  const bool completed =
      found != keys_.end() && found->second.state == key_state::kCompleted;
  return completed ? &found->second.answer : nullptr;
}

void key_table::Expire(base::time_point now) {
  std::erase_if(keys_, [&](const auto& item) {
    return item.second.state != key_state::kInFlight &&
           now - item.second.changed_at > retention_;
  });
}

void key_table::Apply(const log_entry& entry, base::time_point now) {
  if (entry.kind == log_entry_kind::kWithdrawn) {
    keys_.erase(entry.request_id);
    return;
  }
  key_record& known = keys_[entry.request_id];
  known.fingerprint = entry.fingerprint;
  known.token = entry.token;
  known.changed_at = now;
  known.answer = entry.answer;
  known.state = key_state::kUnknown;
  if (entry.kind == log_entry_kind::kIntent)
    known.state = key_state::kInFlight;
  if (entry.kind == log_entry_kind::kCompleted)
    known.state = key_state::kCompleted;
}

}  // namespace chivecrank::idempotency
