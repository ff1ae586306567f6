#ifndef CHIVECRANK_OBJECTIVES_BURN_H_
#define CHIVECRANK_OBJECTIVES_BURN_H_

#include <vector>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// An alert fires if the burn rate in both of its windows is at least
/// `burn_rate`.
struct alert_policy {
  alert_severity severity = alert_severity::kNone;
  std::chrono::minutes long_window{0};
  std::chrono::minutes short_window{0};
  double burn_rate = 0;
};

/// Returns the alert policies, most urgent first.
const std::vector<alert_policy>& AlertPolicies();

/// Returns the windows that reports show, shortest first.
const std::vector<std::chrono::minutes>& ReportWindows();

/// Computes the error budget burn of each objective; samples may be in any
/// order. A counter whose value falls was reset by a restart and counts from 0
/// again. The first sample of a counter only sets its base value, unless its
/// source was sampled before: then the counter started at 0.
burn_report ComputeBurn(const std::vector<service_objective>& objectives,
                        std::vector<counter_sample> samples);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_BURN_H_
