#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <utility>
#include <vector>

#include "chivecrank/submissions/interference_estimate.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What filling tasks do to the services beside them, learned per pair of
/// images from the workers' reports.
///
/// A service behaves like a queue: its tail latency is that of an idle one
/// divided by one minus its pressure. The pressure is its own load, plus what
/// filling tasks add: the share of the worker's processors that they use,
/// times a slope that depends on the pair. Loads are followed per step, by a
/// filter of their own, and slopes per pair; a reading corrects each by its
/// share of the variance.
class interference {
 public:
  /// Pressure of a service at its latency bound.
  static constexpr double kPressureAtBound = 1 - 1 / 4.5;

  /// What was learned fades until `now`; answers are as of the last call.
  void Advance(base::time_point now);

  /// Learns from the readings of a worker's runs.
  void Observe(worker_entry& worker, base::time_point now);

  /// All pairs that anything was seen of; and takes over what another has
  /// learned, for pairs that nothing was seen of here.
  std::vector<interference_estimate> Learned(const image_index& images) const;
  void TakeOver(const std::vector<interference_estimate>& learned,
                image_index& images);

  /// Pressure that a filling image adds to a service when it uses all
  /// processors of the worker.
  double Slope(image_number service_image, image_number filling_image) const;

  /// Whether too little was seen of the pair to rely on its slope.
  bool IsUnknown(image_number service_image, image_number filling_image) const;

  /// What the worker's runs add up to, with the pressure on its services; kept
  /// until the runs change or are reported.
  const occupancy& OccupancyOf(worker_entry& worker) const;

  /// Services of a worker that more filling work brings over their bounds, as
  /// the sum of the chances that it adds. `more` is the share of the worker's
  /// processors that is added.
  double HarmOf(const occupancy& worker,
                image_number filling_image,
                double more) const;

 private:
  struct belief {
    double mean = 0;
    double variance = 0;
  };
  using pair = std::pair<image_number, image_number>;
  /// Share of a worker's processors that filling tasks of an image use.
  struct image_share {
    image_number image = 0;
    double share = 0;
  };
  using shares = std::vector<image_share>;

  /// What one filling image does to each service's image, by its number.
  struct effects {
    std::vector<belief> on;
  };

  /// Chance that a service under this pressure is over its bound.
  static double RiskAt(double pressure);
  static void AddTo(shares& used, image_number image, double share);
  void ObserveService(active_run& service,
                      const shares& used,
                      base::time_point now);
  belief Of(image_number service_image, image_number filling_image) const;

  /// The same as Of, for the many looks of a round of choices.
  belief EffectOn(image_number service_image, image_number filling_image) const;
  const effects& EffectsOf(image_number filling_image) const;

  absl::flat_hash_map<pair, belief> beliefs_;
  /// Made from the beliefs when they are needed; dropped by Advance, which
  /// goes before each change of a belief.
  mutable absl::flat_hash_map<image_number, effects> effects_;
  /// Unset before the first call of Advance: what was taken over is as new.
  std::optional<base::time_point> advanced_to_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_
