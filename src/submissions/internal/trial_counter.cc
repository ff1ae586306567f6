#include "internal/trial_counter.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Number of workers on which an uncertain pair is tried at once.
constexpr std::int32_t kMaxTrialWorkers = 2;

}  // namespace

void trial_counter::Recount(worker_table& workers) {
  worker_counts_.clear();
  for (auto& [id, worker] : workers.All()) {
    const occupancy& occupied = interference_.OccupancyOf(worker);
    for (const service_utilization& service : occupied.services)
      for (const image_number best_effort : occupied.best_effort_images)
        ++worker_counts_[pair(service.image, best_effort)];
  }
}

void trial_counter::Add(const occupancy& worker,
                        image_number best_effort_image) {
  if (worker.RunsBestEffort(best_effort_image))
    return;
  for (const service_utilization& service : worker.services)
    ++worker_counts_[pair(service.image, best_effort_image)];
}

bool trial_counter::Allows(const occupancy& worker,
                           image_number best_effort_image) const {
  const bool already_runs = worker.RunsBestEffort(best_effort_image);
  return std::ranges::all_of(worker.services, [&](const auto& service) {
    if (!interference_.IsUncertain(service.image, best_effort_image))
      return true;
    // One task of the image per worker is enough for a trial.
    if (already_runs)
      return false;
    const auto found =
        worker_counts_.find(pair(service.image, best_effort_image));
    return found == worker_counts_.end() || found->second < kMaxTrialWorkers;
  });
}

}  // namespace chivecrank::submissions::internal
