#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_

#include <map>
#include <string>

#include "chivecrank/scheduling/interference_model.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What filling tasks do to the latency of the services beside them, learned
/// per pair of images from the workers' reports.
///
/// Latencies are in units of a quiet service's: a service at its bound is at
/// kBoundOverQuiet.
class interference {
 public:
  /// Latency bounds are about this many times the latency of a quiet service.
  static constexpr double kBoundOverQuiet = 3;

  interference();

  /// Learns from the readings of a worker's runs.
  void Observe(const worker_entry& worker, base::time_point now);

  /// Latency that one processor of a filling image adds to a service's.
  double Slope(const std::string& service_image,
               const std::string& filling_image,
               base::time_point now) const;

  /// Whether too little was seen of the pair to rely on its slope.
  bool IsUnknown(const std::string& service_image,
                 const std::string& filling_image,
                 base::time_point now) const;

  /// The largest latency that the filling tasks of a worker, and `more_milli`
  /// processors of another, add to any service there.
  double WorstAdded(const worker_entry& worker,
                    const std::string& filling_image,
                    std::int64_t more_milli,
                    base::time_point now) const;

 private:
  scheduling::interference_model model_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_INTERFERENCE_H_
