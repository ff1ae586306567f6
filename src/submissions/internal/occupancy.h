#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_OCCUPANCY_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_OCCUPANCY_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "internal/image_index.h"

namespace chivecrank::submissions::internal {

/// Utilization of a service on a worker.
struct service_utilization {
  image_number image = 0;
  /// From 0 to 1; above 1 when overloaded.
  double utilization = 0;
  /// Probability that its latency is over the target.
  double risk = 0;
};

/// Totals of a worker's runs that placement needs.
struct occupancy {
  /// Runs with a latency target.
  std::vector<service_utilization> services;
  std::vector<image_number> long_running_images;
  std::vector<image_number> best_effort_images;
  /// Millicores that long-running tasks reserve, and millicores that all other
  /// tasks use at their commanded speed.
  std::int64_t long_running_milli = 0;
  std::int64_t other_milli = 0;
  /// Resources that long-running tasks reserve.
  coordination::resources long_running_reserved;

  void AddLongRunning(image_number image) {
    if (std::ranges::find(long_running_images, image) ==
        long_running_images.end())
      long_running_images.push_back(image);
  }
  bool RunsBestEffort(image_number image) const {
    return std::ranges::find(best_effort_images, image) !=
           best_effort_images.end();
  }
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_OCCUPANCY_H_
