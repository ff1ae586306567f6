#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_OCCUPANCY_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_OCCUPANCY_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "internal/image_index.h"

namespace chivecrank::submissions::internal {

/// A service on a worker.
struct service_pressure {
  image_number image = 0;
  /// From 0 to 1 and above.
  double pressure = 0;
  /// Chance that its readings are over its bound.
  double risk = 0;
};

/// What the runs of a worker add up to, as far as placing needs it.
struct occupancy {
  /// Runs with a latency bound.
  std::vector<service_pressure> services;
  std::vector<image_number> lasting_images;
  std::vector<image_number> filling_images;
  /// Processors, in thousandths, that lasting tasks reserve, and that the
  /// others use at the speed they were told to run at.
  std::int64_t lasting_milli = 0;
  std::int64_t other_milli = 0;

  void AddLasting(image_number image) {
    if (std::ranges::find(lasting_images, image) == lasting_images.end())
      lasting_images.push_back(image);
  }
  bool Fills(image_number image) const {
    return std::ranges::find(filling_images, image) != filling_images.end();
  }
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_OCCUPANCY_H_
