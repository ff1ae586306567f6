#ifndef CHIVECRANK_OBJECTIVES_TYPES_H_
#define CHIVECRANK_OBJECTIVES_TYPES_H_

#include <chrono>
#include <string>

/// Service level objectives: what is measured of requests, and what the
/// report reads back.
namespace chivecrank::objectives {

/// Name of the counter of answered requests, with the labels service,
/// account, outcome and in_objective ("true" or "false").
inline constexpr char kRequestsMetric[] = "chivecrank_requests_total";
/// Name of the histogram of latencies in seconds, with the label service.
inline constexpr char kLatencyMetric[] = "chivecrank_request_seconds";

/// One answered request.
struct request_observation {
  std::string service;
  std::string account;
  /// completed, not_run or unknown.
  std::string outcome;
  /// From the arrival of the whole request to its answer.
  std::chrono::microseconds latency{0};
  /// Completed within the objective's latency.
  bool in_objective = false;
};

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_TYPES_H_
