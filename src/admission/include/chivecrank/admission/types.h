#ifndef CHIVECRANK_ADMISSION_TYPES_H_
#define CHIVECRANK_ADMISSION_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/clock.h"

/// Decides which requests wait, in which order they are served and which are
/// refused. Uses no threads, sockets or clocks: callers pass the time in.
namespace chivecrank::admission {

/// Identifies a request within one entry.
using request_number = std::uint64_t;

/// Limits of one service's queue at one entry.
struct queue_options {
  /// Largest number of waiting requests.
  std::int64_t queue_limit = 256;
  /// How far an account's served requests, divided by its weight, may exceed
  /// those of the least served waiting account. Beyond it, other accounts'
  /// requests go first whatever the deadlines are.
  double fairness_window = 8;
};

/// A request to be admitted.
struct admission_request {
  request_number number = 0;
  std::string account;
  /// Weight of the account in fair sharing.
  std::int64_t weight = 1;
  /// Largest number of requests of the account in flight or waiting.
  std::int64_t account_limit = 64;
  base::time_point deadline;
};

struct waiting_request {
  request_number number = 0;
  base::time_point deadline;
};

/// Why a request is refused.
enum class refusal_reason {
  kNone,
  /// The account has reached its limit of requests in flight or waiting.
  kAccountLimit,
  /// The queue is full, and the account has its fair share of it.
  kQueueFull,
  /// The request can't be answered before its deadline.
  kTooLate,
};

std::string_view RefusalReasonName(refusal_reason value);

/// The final answer to a request that is not served.
struct refusal {
  request_number number = 0;
  refusal_reason reason = refusal_reason::kNone;
  /// Time from now after which the same request might be admitted.
  std::chrono::milliseconds retry_after{0};
};

/// Outcome of an admission. If the request took the place of another one in a
/// full queue, the other one is in `evicted`.
struct admission_decision {
  refusal refused;
  refusal evicted;

  bool IsAdmitted() const { return refused.reason == refusal_reason::kNone; }
};

/// Current capacity of the upstreams.
struct service_capacity {
  /// Slots in use at this entry plus slots that it could use at once.
  std::int64_t slots = 0;
  /// Median latency, from sending a request to its complete answer.
  std::chrono::milliseconds latency{0};
  /// Latency that about one request in a thousand exceeds.
  std::chrono::milliseconds tail_latency{0};
};

}  // namespace chivecrank::admission

#endif  // CHIVECRANK_ADMISSION_TYPES_H_
