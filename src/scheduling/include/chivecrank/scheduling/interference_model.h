#ifndef CHIVECRANK_SCHEDULING_INTERFERENCE_MODEL_H_
#define CHIVECRANK_SCHEDULING_INTERFERENCE_MODEL_H_

#include <map>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"

namespace chivecrank::scheduling {

/// Exposure of a service to a batch template on the same worker: the template's
/// share of the processors times the load of the service, 0 to 1.
struct exposure {
  std::string batch_template;
  double amount = 0;
};

/// Estimate for a pairing: the latency inflation that full exposure adds, and
/// its variance.
struct pairing_estimate {
  double mean = 0;
  double variance = 0;
};

/// Parameters of the estimation.
struct interference_settings {
  /// Estimate for a pairing that was never measured.
  double prior_mean = 2.5;
  double prior_variance = 1.5;
  /// Prior variance of the service's own baseline inflation, which no pairing
  /// causes.
  double baseline_variance = 0.02;
  /// Standard deviation of one sample relative to its value.
  double sample_noise = 0.12;
  /// Time in which the weight of a measurement halves.
  std::chrono::seconds half_life{1800};
};

/// Latency inflation for each pairing of a service template and a batch
/// template, estimated from samples of whole workers. Each sample corrects the
/// exposed pairings in proportion to their variance (a Kalman filter with a
/// diagonal covariance). Estimates without new samples decay to the prior.
class interference_model {
 public:
  explicit interference_model(interference_settings settings);

  /// Updates the estimates from a sample: the latency inflation of a service
  /// and its exposures during the measurement.
  void Observe(const std::string& service_template,
               const std::vector<exposure>& exposures,
               double inflation,
               base::wall_time at);

  pairing_estimate EstimateFor(const std::string& service_template,
                               const std::string& batch_template,
                               base::wall_time now) const;

 private:
  struct learned_estimate {
    pairing_estimate estimate;
    base::wall_time updated;
  };
  using learned_estimates = std::map<std::string, learned_estimate>;

  learned_estimate Prior(const std::string& batch_template,
                         base::wall_time now) const;
  void DecayToPrior(const std::string& batch_template,
                    learned_estimate& decayed,
                    base::wall_time now) const;

  const interference_settings settings_;
  std::map<std::string, learned_estimates> services_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERFERENCE_MODEL_H_
