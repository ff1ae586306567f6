#ifndef CHIVECRANK_SCHEDULING_INTERFERENCE_MODEL_H_
#define CHIVECRANK_SCHEDULING_INTERFERENCE_MODEL_H_

#include <map>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"

namespace chivecrank::scheduling {

/// How much of a worker a batch template used beside a service: its share of
/// the processors, times the service's load, from 0 to 1.
struct exposure {
  std::string batch_template;
  double amount = 0;
};

/// What is believed of a pairing: the latency inflation that full exposure
/// adds, and the variance of that belief.
struct pairing_estimate {
  double mean = 0;
  double variance = 0;
};

/// How pairings are learned.
struct interference_settings {
  /// Belief about a pairing that was never measured.
  double prior_mean = 2.5;
  double prior_variance = 1.5;
  /// Variance of the service's own level, which no pairing is to blame for.
  double level_variance = 0.02;
  /// Relative noise of one sample.
  double sample_noise = 0.12;
  /// Time in which the weight of a measurement falls to a half.
  std::chrono::seconds half_life{1800};
};

/// Latency inflation for each pairing of a service template and a batch
/// template, learned from samples of whole workers: each sample corrects the
/// exposed pairings in proportion to how uncertain they are (a Kalman filter
/// with a diagonal covariance). Unused knowledge fades back to the prior.
class interference_model {
 public:
  explicit interference_model(interference_settings settings);

  /// A sample of a service's latency relative to its latency alone, with what
  /// ran beside it at that time.
  void Observe(const std::string& service_template,
               const std::vector<exposure>& exposures,
               double inflation,
               base::wall_time at);

  pairing_estimate Of(const std::string& service_template,
                      const std::string& batch_template,
                      base::wall_time now) const;

 private:
  struct belief {
    pairing_estimate estimate;
    base::wall_time updated;
  };
  using beliefs = std::map<std::string, belief>;

  belief Prior(const std::string& batch_template, base::wall_time now) const;
  void Fade(const std::string& batch_template,
            belief& faded,
            base::wall_time now) const;

  const interference_settings settings_;
  std::map<std::string, beliefs> services_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERFERENCE_MODEL_H_
