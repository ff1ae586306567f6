#include "internal/trial_counter.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Workers on which an unknown pair is tried at once.
constexpr std::int32_t kTrials = 2;

}  // namespace

void trial_counter::Recount(worker_table& workers) {
  workers_of_.clear();
  for (auto& [id, worker] : workers.All()) {
    const occupancy& occupied = learned_.OccupancyOf(worker);
    for (const service_pressure& service : occupied.services)
      for (const image_number filling : occupied.filling_images)
        ++workers_of_[pair(service.image, filling)];
  }
}

void trial_counter::Add(const occupancy& worker, image_number filling_image) {
  if (worker.Fills(filling_image))
    return;
  for (const service_pressure& service : worker.services)
    ++workers_of_[pair(service.image, filling_image)];
}

bool trial_counter::Allows(const occupancy& worker,
                           image_number filling_image) const {
  const bool there = worker.Fills(filling_image);
  return std::ranges::all_of(worker.services, [&](const auto& service) {
    if (!learned_.IsUnknown(service.image, filling_image))
      return true;
    // One task of the image is trial enough.
    if (there)
      return false;
    const auto found = workers_of_.find(pair(service.image, filling_image));
    return found == workers_of_.end() || found->second < kTrials;
  });
}

}  // namespace chivecrank::submissions::internal
