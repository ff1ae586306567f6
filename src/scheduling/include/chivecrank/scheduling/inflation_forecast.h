#ifndef CHIVECRANK_SCHEDULING_INFLATION_FORECAST_H_
#define CHIVECRANK_SCHEDULING_INFLATION_FORECAST_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "chivecrank/scheduling/attempt_book.h"
#include "chivecrank/scheduling/interference_model.h"

namespace chivecrank::scheduling {

/// A measurement of one replica of a service, taken over a window that ended
/// some time ago.
struct service_sample {
  std::string worker_id;
  std::string service_template;
  base::wall_time from;
  base::wall_time to;
  /// Latency relative to the service's latency alone; 1 means undisturbed.
  double inflation = 1;
  /// Load of the replica relative to its capacity, 0 to 1.
  double load = 0;
};

/// Replaces the learned estimate of a pairing when it returns one.
using interference_hook =
    std::function<std::optional<double>(const std::string& service_template,
                                        const std::string& batch_template)>;

/// Predicts the latency inflation of services from what runs beside them.
class inflation_forecast {
 public:
  /// `known` may be empty.
  inflation_forecast(interference_settings settings, interference_hook known);

  /// Learns from a late measurement and what ran at its time.
  void Observe(const service_sample& sample, const residency_log& residency);

  /// Inflation that the whole worker's processors under one batch template
  /// would add to the service there, at the load that was seen last.
  pairing_estimate Slope(const std::string& worker_id,
                         const std::string& service_template,
                         const std::string& batch_template,
                         base::wall_time now) const;

 private:
  double LoadOf(const std::string& worker_id,
                const std::string& service_template) const;

  const interference_hook known_;
  interference_model model_;
  std::map<std::pair<std::string, std::string>, double> loads_;
  std::map<std::string, double> template_loads_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INFLATION_FORECAST_H_
