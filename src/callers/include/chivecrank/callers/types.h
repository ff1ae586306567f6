#ifndef CHIVECRANK_CALLERS_TYPES_H_
#define CHIVECRANK_CALLERS_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/error.h"
#include "chivecrank/http/types.h"

/// Requests that client accounts send to an entry, and their answers.
namespace chivecrank::callers {

/// Header fields of the client API.
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kTimeoutHeader[] = "Chivecrank-Timeout-Ms";
inline constexpr char kIdempotentHeader[] = "Chivecrank-Idempotent";
/// "true" if no earlier attempt with the same key can have run: on the first
/// attempt, and on retries after answers with the outcome "not_run".
inline constexpr char kFirstSendHeader[] = "Chivecrank-First-Send";
inline constexpr char kOutcomeHeader[] = "Chivecrank-Outcome";
inline constexpr char kRetryAfterHeader[] = "Chivecrank-Retry-After-Ms";

/// Outcome of a request, as reported to the client account.
enum class request_outcome {
  /// The response contains the complete answer of the upstream.
  kCompleted,
  /// The request never reached an upstream and may be sent again.
  kNotRun,
  /// The request may have run; it is not retried.
  kUnknown,
};

std::string_view RequestOutcomeName(request_outcome value);

/// An authenticated request to a service.
struct caller_request {
  std::string account;
  std::string service;
  /// Path and query that are sent to the upstream.
  std::string target;
  std::string key;
  bool idempotent = false;
  /// The client account states that no earlier attempt with this key can have
  /// run.
  bool first_send = false;
  base::time_point deadline;
  http::request message;
  /// Weight of the account in fair queueing, and the maximum number of requests
  /// that it may have in progress in one entry.
  std::int64_t account_weight = 1;
  std::int64_t account_limit = 64;
  /// Maximum number of requests of the service that are queued in one entry.
  std::int64_t queue_limit = 256;
};

struct caller_answer {
  request_outcome outcome = request_outcome::kNotRun;
  http::response response;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_TYPES_H_
