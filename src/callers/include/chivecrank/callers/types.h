#ifndef CHIVECRANK_CALLERS_TYPES_H_
#define CHIVECRANK_CALLERS_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/error.h"
#include "chivecrank/http/types.h"

/// What callers ask of an entry, and how it answers.
namespace chivecrank::callers {

/// Header fields of the callers' interface.
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kTimeoutHeader[] = "Chivecrank-Timeout-Ms";
inline constexpr char kIdempotentHeader[] = "Chivecrank-Idempotent";
/// "true" on a send of a key that cannot have run before: the first one, and
/// those after answers that said "not run".
inline constexpr char kFirstSendHeader[] = "Chivecrank-First-Send";
inline constexpr char kOutcomeHeader[] = "Chivecrank-Outcome";
inline constexpr char kRetryAfterHeader[] = "Chivecrank-Retry-After-Ms";

/// What became of a request, as told to its caller.
enum class request_outcome {
  /// The upstream's whole answer is in the response.
  kCompleted,
  /// It never reached an upstream and may be sent again.
  kNotRun,
  /// It was sent and not repeated; it may have run.
  kUnknown,
};

std::string_view RequestOutcomeName(request_outcome value);

/// An authenticated request to a service.
struct caller_request {
  std::string account;
  std::string service;
  /// Path and query at the upstream.
  std::string target;
  std::string key;
  bool idempotent = false;
  /// The caller vouches that the key cannot have run before.
  bool first_send = false;
  base::time_point deadline;
  http::request message;
  /// Weight of the account, and how many requests it may have in one entry.
  std::int64_t account_weight = 1;
  std::int64_t account_limit = 64;
  /// Requests of the service that wait in one entry at most.
  std::int64_t queue_limit = 256;
};

/// The answer to a service request.
struct caller_answer {
  request_outcome outcome = request_outcome::kNotRun;
  http::response response;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_TYPES_H_
