#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_

#include <map>
#include <string>
#include <utility>

#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What filling tasks do to the services beside them, learned per pair of
/// images from the workers' reports.
///
/// A service behaves like a queue: its tail latency is that of an idle one
/// divided by one minus its pressure. The pressure is its own load, plus what
/// filling tasks add: the share of the worker's processors that they use,
/// times a slope that depends on the pair. Own
/// loads are followed per run and shares per pair, by one Kalman filter with a
/// diagonal covariance.
class interference {
 public:
  /// Pressure of a service at its latency bound.
  static constexpr double kPressureAtBound = 1 - 1 / 4.5;

  /// Learns from the readings of a worker's runs.
  void Observe(worker_entry& worker, base::time_point now);

  /// Pressure that a filling image adds to a service when it uses all
  /// processors of the worker.
  double Slope(const std::string& service_image,
               const std::string& filling_image,
               base::time_point now) const;

  /// Whether too little was seen of the pair to rely on its slope.
  bool IsUnknown(const std::string& service_image,
                 const std::string& filling_image,
                 base::time_point now) const;

  /// What a worker's services would be under with more filling work.
  struct forecast {
    /// The largest pressure of any service.
    double worst = 0;
    /// The most that the additional work adds to any.
    double added = 0;
  };
  forecast Forecast(const worker_entry& worker,
                    const std::string& filling_image,
                    std::int64_t more_milli,
                    base::time_point now) const;

 private:
  struct belief {
    double mean = 0;
    double variance = 0;
    base::time_point updated;
  };
  using pair = std::pair<std::string, std::string>;
  using amounts = std::map<std::string, double>;

  void ObserveService(active_run& service,
                      const amounts& used,
                      base::time_point now);
  belief Of(const std::string& service_image,
            const std::string& filling_image,
            base::time_point now) const;

  std::map<pair, belief> beliefs_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_
