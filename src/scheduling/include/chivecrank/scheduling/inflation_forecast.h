#ifndef CHIVECRANK_SCHEDULING_INFLATION_FORECAST_H_
#define CHIVECRANK_SCHEDULING_INFLATION_FORECAST_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "chivecrank/scheduling/attempt_tracker.h"
#include "chivecrank/scheduling/interference_model.h"

namespace chivecrank::scheduling {

/// A measurement of one replica of a service over the window `from` to `to`,
/// which arrives some time after the window.
struct service_sample {
  std::string worker_id;
  std::string service_template;
  base::wall_time from;
  base::wall_time to;
  /// Latency relative to that without batch work on the worker; 1 means no
  /// interference.
  double inflation = 1;
  /// Load of the replica relative to its capacity, 0 to 1.
  double load = 0;
};

/// Returns the inflation of a pairing to use in place of the learned estimate,
/// or nothing to use the estimate.
using interference_hook =
    std::function<std::optional<double>(const std::string& service_template,
                                        const std::string& batch_template)>;

/// Predicts the latency inflation of services from the batch work on the same
/// worker.
class inflation_forecast {
 public:
  /// `known` may be empty.
  inflation_forecast(interference_settings settings, interference_hook known);

  /// Updates the model from a measurement and the batch work that ran during
  /// its window.
  void Observe(const service_sample& sample, const residency_log& residency);

  /// Inflation that batch work of the template would add to the service if it
  /// used all processors of the worker, at the last measured load.
  pairing_estimate InflationPerShare(const std::string& worker_id,
                                     const std::string& service_template,
                                     const std::string& batch_template,
                                     base::wall_time now) const;

 private:
  double LoadOf(const std::string& worker_id,
                const std::string& service_template) const;

  const interference_hook known_interference_;
  interference_model model_;
  std::map<std::pair<std::string, std::string>, double> loads_;
  std::map<std::string, double> template_loads_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INFLATION_FORECAST_H_
