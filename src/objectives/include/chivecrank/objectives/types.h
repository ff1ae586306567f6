#ifndef CHIVECRANK_OBJECTIVES_TYPES_H_
#define CHIVECRANK_OBJECTIVES_TYPES_H_

#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Service level objectives: measured requests, and the error budget report
/// computed from them.
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
  /// From the arrival of the complete request to its answer.
  std::chrono::microseconds latency{0};
  /// Completed within the latency of the service's objective.
  bool in_objective = false;
};

struct service_objective {
  std::string service;
  /// Share of requests that must be answered within the latency.
  double ratio = 0.999;
  std::chrono::milliseconds latency{250};
};

/// The value of one request counter of one daemon at one time.
struct counter_sample {
  /// Milliseconds since the epoch.
  std::int64_t at_ms = 0;
  /// Address of the sampled daemon, "ip:port".
  std::string source;
  std::string service;
  std::string account;
  std::string outcome;
  bool in_objective = false;
  double value = 0;
};

/// Number of requests in a time span.
struct request_count {
  double total = 0;
  /// Answered within the objective.
  double good = 0;

  double Bad() const { return total - good; }
  /// Rounded to whole numbers for display.
  std::int64_t WholeTotal() const { return std::llround(total); }
  std::int64_t WholeBad() const { return std::llround(Bad()); }
};

/// Rate at which the error budget is consumed in a window that ends with the
/// newest sample.
struct window_burn {
  std::chrono::minutes window{0};
  request_count requests;
  /// Share of bad requests divided by the share that the objective allows; at 1
  /// the budget is used up exactly at the end of the period.
  double burn_rate = 0;
};

enum class alert_severity { kNone, kTicket, kPage };

std::string_view AlertSeverityName(alert_severity value);

/// Requests of one account to a service with bad requests.
struct offender {
  std::string account;
  request_count requests;
};

/// One point of a plot: burn rate and request rate in a short time span.
struct burn_point {
  std::int64_t at_ms = 0;
  double burn_rate = 0;
  double requests_per_s = 0;
};

/// Error budget consumption of one service.
struct service_burn {
  service_objective objective;
  request_count requests;
  /// Remaining share of the error budget over the time of all samples; below 0
  /// if more than the budget was used.
  double budget_left = 1;
  std::vector<window_burn> windows;
  alert_severity alert = alert_severity::kNone;
  std::vector<offender> worst_accounts;
  std::vector<burn_point> course;
};

/// Content of the reports of chivecrank_report. Times are in milliseconds since
/// the epoch.
struct burn_report {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
  std::vector<service_burn> services;
};

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_TYPES_H_
