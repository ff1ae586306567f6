#include "chivecrank/objectives/burn.h"

#include <algorithm>
#include <map>
#include <string>

namespace chivecrank::objectives {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr std::size_t kMaxWorstAccounts = 5;
constexpr std::int64_t kPlotPoints = 60;

/// Increase of a request counter between two samples.
struct increment {
  std::int64_t at_ms = 0;
  std::string account;
  bool in_objective = false;
  double count = 0;
};

std::string CounterKey(const counter_sample& sample) {
  return sample.source + "\n" + sample.service + "\n" + sample.account + "\n" +
         sample.outcome + "\n" + (sample.in_objective ? "1" : "0");
}

std::map<std::string, std::vector<increment>> Increments(
    std::vector<counter_sample>& samples) {
  std::stable_sort(samples.begin(), samples.end(),
                   [](const counter_sample& left, const counter_sample& right) {
                     return left.at_ms < right.at_ms;
                   });
  std::map<std::string, double> last;
  std::map<std::string, std::int64_t> first_read;
  std::map<std::string, std::vector<increment>> by_service;
  for (const counter_sample& sample : samples) {
    const auto read = first_read.try_emplace(sample.source, sample.at_ms).first;
    const auto [existing, added] = last.try_emplace(CounterKey(sample), 0);
    // A counter that first appears after the first sample of its daemon started
    // at 0.
    const bool is_base = added && read->second == sample.at_ms;
    const bool reset = sample.value < existing->second;
    const double count = reset ? sample.value : sample.value - existing->second;
    existing->second = sample.value;
    if (!is_base && count > 0) {
      by_service[sample.service].push_back(
          {sample.at_ms, sample.account, sample.in_objective, count});
    }
  }
  return by_service;
}

request_count CountBetween(const std::vector<increment>& increments,
                           std::int64_t after_ms,
                           std::int64_t until_ms) {
  request_count counted;
  for (const increment& step : increments) {
    if (step.at_ms <= after_ms || step.at_ms > until_ms)
      continue;
    counted.total += step.count;
    counted.good += step.in_objective ? step.count : 0;
  }
  return counted;
}

double BurnRate(const request_count& counted, double ratio) {
  if (counted.total <= 0 || ratio >= 1)
    return 0;
  return counted.Bad() / counted.total / (1 - ratio);
}

std::int64_t Milliseconds(minutes window) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
}

double BurnRateOf(const service_burn& burn, minutes window) {
  for (const window_burn& reported : burn.windows) {
    if (reported.window == window)
      return reported.burn_rate;
  }
  return 0;
}

alert_severity AlertOf(const service_burn& burn) {
  for (const alert_policy& policy : AlertPolicies()) {
    if (BurnRateOf(burn, policy.long_window) >= policy.burn_rate &&
        BurnRateOf(burn, policy.short_window) >= policy.burn_rate) {
      return policy.severity;
    }
  }
  return alert_severity::kNone;
}

std::vector<offender> WorstAccounts(const std::vector<increment>& increments) {
  std::map<std::string, request_count> by_account;
  for (const increment& step : increments) {
    request_count& counted = by_account[step.account];
    counted.total += step.count;
    counted.good += step.in_objective ? step.count : 0;
  }
  std::vector<offender> worst;
  for (const auto& [account, counted] : by_account) {
    if (counted.Bad() > 0)
      worst.push_back({account, counted});
  }
  std::stable_sort(worst.begin(), worst.end(),
                   [](const offender& left, const offender& right) {
                     return left.requests.Bad() > right.requests.Bad();
                   });
  if (worst.size() > kMaxWorstAccounts)
    worst.resize(kMaxWorstAccounts);
  return worst;
}

std::vector<burn_point> Course(const std::vector<increment>& increments,
                               double ratio,
                               std::int64_t from_ms,
                               std::int64_t to_ms) {
  std::vector<burn_point> course;
  const std::int64_t step =
      std::max<std::int64_t>(1, (to_ms - from_ms) / kPlotPoints);
  for (std::int64_t at = from_ms + step; at <= to_ms; at += step) {
    const request_count counted = CountBetween(increments, at - step, at);
    course.push_back({at, BurnRate(counted, ratio),
                      counted.total * 1000 / static_cast<double>(step)});
  }
  return course;
}

service_burn BurnOf(const service_objective& objective,
                    const std::vector<increment>& increments,
                    std::int64_t from_ms,
                    std::int64_t to_ms) {
  service_burn burn;
  burn.objective = objective;
  burn.requests = CountBetween(increments, from_ms, to_ms);
  burn.budget_left = 1 - BurnRate(burn.requests, objective.ratio);
  for (const minutes window : ReportWindows()) {
    const request_count counted =
        CountBetween(increments, to_ms - Milliseconds(window), to_ms);
    burn.windows.push_back(
        {window, counted, BurnRate(counted, objective.ratio)});
  }
  burn.alert = AlertOf(burn);
  burn.worst_accounts = WorstAccounts(increments);
  burn.course = Course(increments, objective.ratio, from_ms, to_ms);
  return burn;
}

}  // namespace

std::string_view AlertSeverityName(alert_severity value) {
  switch (value) {
    case alert_severity::kNone:
      return "none";
    case alert_severity::kTicket:
      return "ticket";
    case alert_severity::kPage:
      return "page";
  }
  return "unknown";
}

const std::vector<alert_policy>& AlertPolicies() {
  static const std::vector<alert_policy> policies = {
      {alert_severity::kPage, hours(1), minutes(5), 14.4},
      {alert_severity::kPage, hours(6), minutes(30), 6},
      {alert_severity::kTicket, hours(72), hours(6), 1},
  };
  return policies;
}

const std::vector<minutes>& ReportWindows() {
  static const std::vector<minutes> windows = {minutes(5), minutes(30),
                                               hours(1), hours(6), hours(72)};
  return windows;
}

burn_report ComputeBurn(const std::vector<service_objective>& objectives,
                        std::vector<counter_sample> samples) {
  burn_report report;
  const auto by_service = Increments(samples);
  if (!samples.empty()) {
    report.from_ms = samples.front().at_ms;
    report.to_ms = samples.back().at_ms;
  }
  for (const service_objective& objective : objectives) {
    const auto found = by_service.find(objective.service);
    const std::vector<increment> none;
    report.services.push_back(
        BurnOf(objective, found == by_service.end() ? none : found->second,
               report.from_ms, report.to_ms));
  }
  return report;
}

}  // namespace chivecrank::objectives
