#include "chivecrank/objectives/alert_rules.h"

#include <sstream>

#include "chivecrank/objectives/burn.h"

namespace chivecrank::objectives {
namespace {

std::string Window(std::chrono::minutes window) {
  return std::to_string(window.count()) + "m";
}

/// The burn rate over a window as a Prometheus expression.
std::string BurnExpression(const service_objective& objective,
                           std::chrono::minutes window) {
  const std::string range = "[" + Window(window) + "]";
  const std::string all = std::string(kRequestsMetric) + "{service=\"" +
                          objective.service + "\"}" + range;
  const std::string bad = std::string(kRequestsMetric) + "{service=\"" +
                          objective.service + "\",in_objective=\"false\"}" +
                          range;
  std::ostringstream text;
  text << "(sum(rate(" << bad << ")) / sum(rate(" << all << ")) / "
       << 1 - objective.ratio << ")";
  return text.str();
}

void AppendRule(const service_objective& objective,
                const alert_policy& policy,
                std::ostringstream& text) {
  text << "      - alert: ErrorBudgetBurn\n"
       << "        expr: >-\n"
       << "          " << BurnExpression(objective, policy.long_window)
       << " >= " << policy.burn_rate << "\n"
       << "          and " << BurnExpression(objective, policy.short_window)
       << " >= " << policy.burn_rate << "\n"
       << "        labels:\n"
       << "          service: " << objective.service << "\n"
       << "          severity: " << AlertSeverityName(policy.severity) << "\n"
       << "        annotations:\n"
       << "          summary: " << objective.service
       << " burns its error budget " << policy.burn_rate
       << " times too fast over " << Window(policy.long_window) << "\n";
}

}  // namespace

std::string AlertRules(const std::vector<service_objective>& objectives) {
  std::ostringstream text;
  text << "groups:\n  - name: chivecrank_objectives\n    rules:\n";
  for (const service_objective& objective : objectives) {
    for (const alert_policy& policy : AlertPolicies())
      AppendRule(objective, policy, text);
  }
  return text.str();
}

}  // namespace chivecrank::objectives
