#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_MODEL_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_MODEL_H_

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <utility>
#include <vector>

#include "chivecrank/submissions/interference_estimate.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Estimates how much best-effort tasks slow down the services beside them, per
/// pair of images, from the workers' reports.
///
/// A service is modelled as a queue: its tail latency is that of an idle
/// service divided by one minus its utilization. The utilization is the load
/// from its own callers plus what best-effort tasks add: the share of the
/// worker's processors that they use, times a slope that depends on the pair of
/// images. Kalman filters track the load per step and the slopes per pair; a
/// measurement corrects each by its share of the variance.
class interference_model {
 public:
  /// Utilization at which a service reaches its latency target.
  static constexpr double kUtilizationAtTarget = 1 - 1 / 4.5;

  /// Decays the estimates towards the prior until `now`. Queries return the
  /// state as of the last call.
  void Advance(base::time_point now);

  /// Updates the estimates with the measurements of a worker's runs.
  void Observe(worker_entry& worker, base::time_point now);

  /// Exports the estimates of all observed pairs, or imports those of a
  /// previous owner for pairs that have not been observed here.
  std::vector<interference_estimate> Estimates(const image_index& images) const;
  void Import(const std::vector<interference_estimate>& estimates,
              image_index& images);

  /// Utilization that a best-effort image adds to a service when it uses all
  /// processors of the worker.
  double Slope(image_number service_image,
               image_number best_effort_image) const;

  /// Whether the slope of the pair has too large a variance to rely on.
  bool IsUncertain(image_number service_image,
                   image_number best_effort_image) const;

  /// Returns the sum of the worker's runs and the utilization of its services.
  /// Cached until the runs change or are reported.
  const occupancy& OccupancyOf(worker_entry& worker) const;

  /// Expected number of the worker's services that additional best-effort work
  /// brings over their latency targets: the sum of the added probabilities.
  /// `added_share` is the added share of the worker's processors.
  double AddedRisk(const occupancy& worker,
                   image_number best_effort_image,
                   double added_share) const;

 private:
  struct estimate {
    double mean = 0;
    double variance = 0;
  };
  using pair = std::pair<image_number, image_number>;
  /// Share of a worker's processors that best-effort tasks of an image use.
  struct image_share {
    image_number image = 0;
    double share = 0;
  };
  using shares = std::vector<image_share>;

  /// Effects of one best-effort image, indexed by the number of the service
  /// image.
  struct effects {
    std::vector<estimate> by_service_image;
  };

  /// Probability that a service of this utilization is over its latency target.
  static double RiskAt(double utilization);
  static void AddTo(shares& used, image_number image, double share);
  void ObserveService(active_run& service,
                      const shares& used,
                      base::time_point now);
  estimate EstimateOf(image_number service_image,
                      image_number best_effort_image) const;

  /// Same as EstimateOf, but cached for the many lookups of a planning round.
  estimate CachedEstimateOf(image_number service_image,
                            image_number best_effort_image) const;
  const effects& EffectsOf(image_number best_effort_image) const;

  absl::flat_hash_map<pair, estimate> estimates_;
  /// Filled from `estimates_` on demand; cleared by Advance, which precedes
  /// every change of an estimate.
  mutable absl::flat_hash_map<image_number, effects> effects_cache_;
  /// Unset before the first call of Advance; imported estimates do not decay
  /// before it.
  std::optional<base::time_point> advanced_to_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_MODEL_H_
