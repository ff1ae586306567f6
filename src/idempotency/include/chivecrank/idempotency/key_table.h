#ifndef CHIVECRANK_IDEMPOTENCY_KEY_TABLE_H_
#define CHIVECRANK_IDEMPOTENCY_KEY_TABLE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

/// What the caller of key_table must do with an arrival.
enum class arrival_action {
  /// Record the intent, then send the request.
  kRecord,
  /// Already admitted with the same token.
  kAdmitted,
  /// Return the recorded answer.
  kReplay,
  /// Wait for the outcome of the request that is in flight.
  kWait,
  kUnknown,
  kMismatch,
};

/// Decides for one partition which requests may be sent. Deterministic: uses no
/// threads, sockets or clocks. Not thread-safe.
class key_table {
 public:
  explicit key_table(std::chrono::milliseconds retention);

  /// Loads the entries of the log, in order. `clean` says whether the previous
  /// owner closed its log; then its requests are still in flight. Otherwise
  /// intents without an outcome are unknown. The previous owner may also have
  /// sent first attempts without a record, so a repeat without a record counts
  /// as unknown for the retention time.
  void Load(const std::vector<log_entry>& entries,
            bool clean,
            base::time_point now);

  /// Decides about an arrival. After kRecord the key is in flight.
  arrival_action Decide(const arrival& request, base::time_point now);

  /// The intent of an arrival has been written to the log.
  void ConfirmIntent(const log_entry& intent);

  /// This process was certainly the owner of the log at `at`.
  void ConfirmOwnership(base::time_point at);

  /// Whether the request of a key in flight may be sent now. Without a recorded
  /// intent only a first attempt may, and only while a later owner would still
  /// treat keys without a record as unknown.
  bool MaySend(const arrival& request,
               bool record_is_slow,
               base::time_point now) const;

  /// Applies the outcome of a request; returns whether it changed anything. A
  /// completed key stays completed, and only the arrival that was admitted can
  /// withdraw its key.
  bool Finish(const log_entry& outcome, base::time_point now);

  std::vector<log_entry> IntentsInFlight() const;

  key_state StateOf(const std::string& request_id) const;
  /// Whether the request of a key without a record may nevertheless have run.
  bool MayLackRecords(base::time_point now) const;
  /// Null unless the key is completed. Valid until the key is changed or
  /// forgotten.
  const http::response* AnswerOf(const std::string& request_id) const;

  /// Forgets keys whose outcome is older than the retention time.
  void Expire(base::time_point now);

  std::size_t size() const { return keys_.size(); }

 private:
  struct key_record {
    key_state state = key_state::kInFlight;
    std::uint64_t fingerprint = 0;
    std::string token;
    bool intent_recorded = false;
    base::time_point changed_at;
    http::response answer;
  };

  void Apply(const log_entry& entry, base::time_point now);

  const std::chrono::milliseconds retention_;
  std::unordered_map<std::string, key_record> keys_;
  std::optional<base::time_point> records_incomplete_until_;
  std::optional<base::time_point> ownership_confirmed_at_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_KEY_TABLE_H_
