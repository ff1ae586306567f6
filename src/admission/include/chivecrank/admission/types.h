#ifndef CHIVECRANK_ADMISSION_TYPES_H_
#define CHIVECRANK_ADMISSION_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/clock.h"

/// Which requests wait, in which order they are served, and which are refused.
/// No threads, sockets or clocks inside.
namespace chivecrank::admission {

/// Identifies a request at one entry.
using request_number = std::uint64_t;

/// Limits of a service's queue.
struct queue_options {
  /// Requests that wait at most.
  std::int64_t queue_limit = 256;
  /// Requests of one weight that an account may be ahead of the others before
  /// their requests go first whatever the deadlines are.
  double fairness_window = 8;
};

/// A request that asks to be served.
struct admission_request {
  request_number number = 0;
  std::string account;
  /// Weight of the account in fair shares.
  std::int64_t weight = 1;
  /// Requests of the account in flight or waiting at most.
  std::int64_t account_limit = 64;
  base::time_point deadline;
};

/// A request that waits.
struct waiting_request {
  request_number number = 0;
  base::time_point deadline;
};

/// Why a request is not served.
enum class refusal_reason {
  kNone,
  /// The account has as many requests in progress as it may.
  kAccountLimit,
  /// The queue is full, and the account has its fair share of it.
  kQueueFull,
  /// It can't be answered before its deadline.
  kTooLate,
};

std::string_view RefusalReasonName(refusal_reason value);

/// A request that gets its final answer now.
struct refusal {
  request_number number = 0;
  refusal_reason reason = refusal_reason::kNone;
  /// Earliest time from now at which the same request has a chance.
  std::chrono::milliseconds retry_after{0};
};

/// What became of a request that asked. When its place in a full queue was
/// taken from another request, `displaced` is refused in its stead.
struct admission_decision {
  refusal refused;
  refusal evicted;

  bool IsAdmitted() const { return refused.reason == refusal_reason::kNone; }
};

/// What the upstreams can do at the moment.
struct service_capacity {
  /// Slots that this entry can fill at once.
  std::int64_t slots = 0;
  /// Learned time from sending to the whole answer.
  std::chrono::milliseconds latency{0};
  /// A latency that few requests exceed.
  std::chrono::milliseconds tail_latency{0};
};

}  // namespace chivecrank::admission

#endif  // CHIVECRANK_ADMISSION_TYPES_H_
