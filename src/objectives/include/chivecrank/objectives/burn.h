#ifndef CHIVECRANK_OBJECTIVES_BURN_H_
#define CHIVECRANK_OBJECTIVES_BURN_H_

#include <vector>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// An alert fires when both of its windows burn at least at its rate.
struct alert_policy {
  alert_severity severity = alert_severity::kNone;
  std::chrono::minutes long_window{0};
  std::chrono::minutes short_window{0};
  double burn_rate = 0;
};

/// The alerts, most urgent first.
const std::vector<alert_policy>& AlertPolicies();

/// The windows that are reported, shortest first.
const std::vector<std::chrono::minutes>& ReportWindows();

/// Computes the burn of each objective from samples in any order. A counter
/// that falls was reset by a restart and counts from 0 again; the first sample
/// of a counter only sets its base.
burn_report ComputeBurn(const std::vector<service_objective>& objectives,
                        std::vector<counter_sample> samples);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_BURN_H_
