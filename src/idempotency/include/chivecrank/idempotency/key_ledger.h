#ifndef CHIVECRANK_IDEMPOTENCY_KEY_LEDGER_H_
#define CHIVECRANK_IDEMPOTENCY_KEY_LEDGER_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

/// What the ledger tells its shell to do with an arrival.
enum class arrival_action {
  /// Record the intent, then send.
  kRecord,
  /// Admitted before under the same token.
  kAdmitted,
  /// Give the recorded answer.
  kReplay,
  /// Wait for the send that is in flight.
  kWait,
  kUnknown,
  kMismatch,
};

/// Decides for one partition which request may be sent. Deterministic: no
/// thread, socket or clock inside. Not safe to use from several threads.
class key_ledger {
 public:
  explicit key_ledger(std::chrono::milliseconds retention);

  /// Takes over what the log holds, in order. An owner that closed its log
  /// leaves requests in flight. After one that did not, `clean` is false:
  /// intents without an end are unknown, and since it may have sent first
  /// requests without a record, a repeat without a record counts as unknown
  /// for the retention time.
  void Load(const std::vector<log_entry>& entries,
            bool clean,
            base::time_point now);

  /// Decides about an arrival; with kRecord the key is in flight from now on.
  arrival_action Arrive(const arrival& request, base::time_point now);

  /// The intent of an arrival is in the log.
  void ConfirmIntent(const log_entry& intent);

  /// The log was certainly ours at `at`.
  void ConfirmOwnership(base::time_point at);

  /// Whether a key in flight may be sent now. Without a record only a first
  /// request may, and only while a later owner still counts with it.
  bool MaySend(const arrival& request,
               bool record_is_slow,
               base::time_point now) const;

  /// Takes in how a request ended; returns whether that was news. A key that
  /// is completed stays so, and only the arrival that was admitted withdraws.
  bool Finish(const log_entry& ended, base::time_point now);

  /// The intents of requests in flight.
  std::vector<log_entry> InFlight() const;

  key_state StateOf(const std::string& request_id) const;
  /// Whether a key without a record may nevertheless have run.
  bool IsIncomplete(base::time_point now) const;
  /// Null unless the key is completed.
  const http::response* AnswerOf(const std::string& request_id) const;

  /// Forgets keys that ended longer than the retention time ago.
  void Expire(base::time_point now);

  std::size_t size() const { return keys_.size(); }

 private:
  struct key_record {
    key_state state = key_state::kInFlight;
    std::uint64_t fingerprint = 0;
    std::string token;
    bool recorded = false;
    base::time_point changed;
    http::response answer;
  };

  void Apply(const log_entry& entry, base::time_point now);

  const std::chrono::milliseconds retention_;
  std::unordered_map<std::string, key_record> keys_;
  std::optional<base::time_point> incomplete_until_;
  std::optional<base::time_point> owned_at_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_KEY_LEDGER_H_
