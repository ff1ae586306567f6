#ifndef CHIVECRANK_OBJECTIVES_TYPES_H_
#define CHIVECRANK_OBJECTIVES_TYPES_H_

#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

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

/// The objective of a service.
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
  /// The daemon that was read, "ip:port".
  std::string source;
  std::string service;
  std::string account;
  std::string outcome;
  bool in_objective = false;
  double value = 0;
};

/// Requests of a time span.
struct request_count {
  double total = 0;
  /// Answered within the objective.
  double good = 0;

  double Bad() const { return total - good; }
  /// Whole numbers, for people.
  std::int64_t WholeTotal() const { return std::llround(total); }
  std::int64_t WholeBad() const { return std::llround(Bad()); }
};

/// How fast an error budget is used in the window before the end of the data.
struct window_burn {
  std::chrono::minutes window{0};
  request_count requests;
  /// Share of bad requests over the share that the objective allows; 1 uses up
  /// the budget exactly at the end of the period.
  double burn_rate = 0;
};

/// How urgent an alert is.
enum class alert_severity { kNone, kTicket, kPage };

std::string_view AlertSeverityName(alert_severity value);

/// An account's part in a service's bad requests.
struct offender {
  std::string account;
  request_count requests;
};

/// One point of a plot: the burn rate of a short span.
struct burn_point {
  std::int64_t at_ms = 0;
  double burn_rate = 0;
  double requests_per_s = 0;
};

/// The burn of one service.
struct service_burn {
  service_objective objective;
  request_count requests;
  /// Share of the error budget that is left over the whole data; below 0 when
  /// it is overspent.
  double budget_left = 1;
  std::vector<window_burn> windows;
  alert_severity alert = alert_severity::kNone;
  std::vector<offender> worst_accounts;
  std::vector<burn_point> course;
};

/// What chivecrank_report shows.
struct burn_report {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
  std::vector<service_burn> services;
};

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_TYPES_H_
