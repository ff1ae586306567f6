#ifndef CHIVECRANK_IDEMPOTENCY_TYPES_H_
#define CHIVECRANK_IDEMPOTENCY_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/http/types.h"

/// Runs non-idempotent requests at most once across the entries.
namespace chivecrank::idempotency {

/// Keys are spread over partitions; one entry at a time is home of each.
using partition_id = std::uint32_t;
inline constexpr partition_id kPartitions = 8;

/// The partition of a request identifier ("account/key").
partition_id PartitionOf(std::string_view request_id);

/// What one log entry says of a request.
enum class log_entry_kind {
  /// It may be sent from now on.
  kIntent,
  /// It ran; the whole answer follows.
  kCompleted,
  /// It was sent and no whole answer came.
  kUnknown,
  /// It was certainly not sent; the key may be used again.
  kWithdrawn,
};

std::string_view LogEntryKindName(log_entry_kind value);
/// kUnknown for a name of none.
log_entry_kind LogEntryKindFromName(std::string_view name);

/// One event in the life of a request.
struct log_entry {
  log_entry_kind kind = log_entry_kind::kIntent;
  std::string request_id;
  /// Hash of the method, target and body that came with the key.
  std::uint64_t fingerprint = 0;
  /// The token of the arrival that it belongs to.
  std::string token;
  /// Only with kCompleted.
  http::response answer;
};

/// A request that asks whether it may run.
struct arrival {
  std::string request_id;
  std::uint64_t fingerprint = 0;
  /// Names this arrival; no other one has the same.
  std::string token;
  /// The caller vouches that no earlier send of this key can have run.
  bool is_first_attempt = false;
};

/// What the home says to an arrival.
enum class verdict {
  /// Send it, once.
  kRun,
  /// It ran before; the recorded answer follows.
  kReplay,
  /// It may have run before and is not repeated.
  kUnknown,
  /// The key came with another request before.
  kMismatch,
  /// Undecided yet; ask again with the same token.
  kPending,
  /// It never ran and is not to be sent: no time was left.
  kRefused,
};

std::string_view VerdictName(verdict value);
/// kUnknown for a name of none.
verdict VerdictFromName(std::string_view name);

/// How long an arrival may take.
struct time_limits {
  /// Until the request must have ended.
  std::chrono::milliseconds remaining{0};
  /// Until an undecided question is answered with kPending.
  std::chrono::milliseconds poll_timeout{0};
};

/// The answer to an arrival.
struct decision {
  idempotency::verdict verdict = verdict::kUnknown;
  /// Only with kReplay.
  http::response answer;
};

/// What is known of a key.
enum class key_state { kAbsent, kInFlight, kCompleted, kUnknown };

std::string_view KeyStateName(key_state value);
/// kUnknown for a name of none.
key_state KeyStateFromName(std::string_view name);

/// What a home says of a key.
struct key_report {
  key_state state = key_state::kUnknown;
  /// Only with kCompleted.
  http::response answer;
};

/// Times of a home.
struct home_settings {
  /// How long a key is remembered after it ended.
  std::chrono::milliseconds retention{std::chrono::minutes(15)};
  /// How long a first send waits for its record before it goes without.
  std::chrono::milliseconds patience{100};
  /// How long one question to a home may wait for its answer.
  std::chrono::milliseconds poll_timeout{200};
  /// Longest time that a request admitted by a former owner may take to end.
  std::chrono::milliseconds longest_request{std::chrono::minutes(1)};
  /// Mean time between two writes of one partition under load.
  std::chrono::milliseconds write_spacing{60};
  /// How long the end of a request may wait for an intent to go with.
  std::chrono::milliseconds end_delay{250};
  /// Time between tries while the store does not answer.
  std::chrono::milliseconds retry{200};
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_TYPES_H_
