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
enum class entry_kind {
  /// It may be sent from now on.
  kIntent,
  /// It ran; the whole answer follows.
  kCompleted,
  /// It was sent and no whole answer came.
  kUnknown,
  /// It was certainly not sent; the key may be used again.
  kWithdrawn,
};

std::string_view EntryKindName(entry_kind value);
/// kUnknown for a name of none.
entry_kind EntryKindFromName(std::string_view name);

/// One event in the life of a request.
struct log_entry {
  entry_kind kind = entry_kind::kIntent;
  std::string request_id;
  /// Hash of the method, target and body that came with the key.
  std::uint64_t fingerprint = 0;
  /// The token of the arrival that it belongs to. Not kept in the log.
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
  bool first = false;
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
  /// It was not sent, and is not to be sent: no time was left.
  kRefused,
};

std::string_view VerdictName(verdict value);
/// kUnknown for a name of none.
verdict VerdictFromName(std::string_view name);

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
  std::chrono::milliseconds patience{200};
  /// Least time between two writes of one partition.
  std::chrono::milliseconds write_spacing{60};
  /// Time between tries while the store does not answer.
  std::chrono::milliseconds retry{200};
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_TYPES_H_
