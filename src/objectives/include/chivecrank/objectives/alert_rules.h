#ifndef CHIVECRANK_OBJECTIVES_ALERT_RULES_H_
#define CHIVECRANK_OBJECTIVES_ALERT_RULES_H_

#include <string>
#include <vector>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// Returns Prometheus alert rules (YAML) for the objectives, with the windows
/// and burn rates of AlertPolicies().
std::string AlertRules(const std::vector<service_objective>& objectives);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_ALERT_RULES_H_
