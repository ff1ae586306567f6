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

/// Keys are hashed to partitions. One entry at a time is the home of each
/// partition and decides about its keys.
using partition_id = std::uint32_t;
inline constexpr partition_id kPartitions = 8;

/// Returns the partition of a request identifier ("account/key").
partition_id PartitionOf(std::string_view request_id);

/// State of a request that a log entry records.
enum class log_entry_kind {
  /// The request may be sent from now on.
  kIntent,
  /// The request ran; the entry has the complete answer.
  kCompleted,
  /// The request was sent and no complete answer arrived.
  kUnknown,
  /// The request was certainly not sent; the key may be used again.
  kWithdrawn,
};

std::string_view LogEntryKindName(log_entry_kind value);
/// An unrecognized name counts as kUnknown: the request may have run, so it is
/// not run again while the key is remembered.
log_entry_kind LogEntryKindFromName(std::string_view name);

struct log_entry {
  log_entry_kind kind = log_entry_kind::kIntent;
  std::string request_id;
  /// Hash of the method, target and body that came with the key.
  std::uint64_t fingerprint = 0;
  /// Token of the arrival that the entry belongs to.
  std::string token;
  /// Complete answer to the request if the kind is kCompleted. An answer in an
  /// entry of another kind is neither replayed nor written to the log.
  http::response answer;
};

/// A request that asks whether it may run.
struct arrival {
  std::string request_id;
  std::uint64_t fingerprint = 0;
  /// Identifies this arrival; no other one has the same token.
  std::string token;
  /// The client account states that no earlier attempt with this key can have
  /// run.
  bool is_first_attempt = false;
};

/// The home's decision about an arrival.
enum class verdict {
  /// Send the request, once.
  kRun,
  /// The request ran before; the recorded answer is returned.
  kReplay,
  /// The request may have run before and must not be repeated.
  kUnknown,
  /// The key was used with another request before.
  kMismatch,
  /// Not decided yet; ask again with the same token.
  kPending,
  /// The request never ran and must not be sent, because no time is left.
  kRefused,
};

std::string_view VerdictName(verdict value);
/// An unrecognized name counts as kUnknown, which never permits the request to
/// be sent.
verdict VerdictFromName(std::string_view name);

/// Time limits of one call about an arrival.
struct time_limits {
  /// Time until the request must have ended.
  std::chrono::milliseconds remaining{0};
  /// Time after which a call without a decision returns kPending.
  std::chrono::milliseconds poll_timeout{0};
};

struct decision {
  idempotency::verdict verdict = verdict::kUnknown;
  /// Set only for kReplay.
  http::response answer;
};

enum class key_state { kAbsent, kInFlight, kCompleted, kUnknown };

std::string_view KeyStateName(key_state value);
/// An unrecognized name counts as kUnknown: the request may have run.
key_state KeyStateFromName(std::string_view name);

/// State of a key as reported by its home.
struct key_report {
  key_state state = key_state::kUnknown;
  /// Set only for kCompleted.
  http::response answer;
};

/// Timing of a home.
struct home_settings {
  /// How long a key is remembered after its outcome.
  std::chrono::milliseconds retention{std::chrono::minutes(15)};
  /// How long a first attempt waits for its intent to be recorded before it is
  /// sent without a record.
  std::chrono::milliseconds unrecorded_send_delay{100};
  /// How long one call to a home may wait for a decision.
  std::chrono::milliseconds poll_timeout{200};
  /// Longest time that a request admitted by a previous owner may take to end.
  std::chrono::milliseconds max_request_duration{std::chrono::minutes(1)};
  /// Mean time between two writes of one partition under load.
  std::chrono::milliseconds mean_write_interval{60};
  /// How long an outcome may wait for an intent to share a write with.
  std::chrono::milliseconds max_outcome_delay{250};
  /// Time between attempts while the store is unavailable.
  std::chrono::milliseconds retry_interval{200};
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_TYPES_H_
