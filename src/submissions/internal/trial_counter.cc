#include "internal/trial_counter.h"

#include <algorithm>
#include <set>

namespace chivecrank::submissions::internal {
namespace {

/// Workers on which an unknown pair is tried at once.
constexpr std::int32_t kTrials = 2;

std::set<std::string> ServiceImages(const worker_entry& worker) {
  std::set<std::string> images;
  for (const auto& [task, run] : worker.runs)
    if (run.latency_target.count() > 0)
      images.insert(run.image);
  return images;
}

bool Runs(const worker_entry& worker, const std::string& filling_image) {
  return std::ranges::any_of(worker.runs, [&](const auto& entry) {
    return entry.second.fills && entry.second.image == filling_image;
  });
}

}  // namespace

void trial_counter::Recount(const worker_table& workers) {
  workers_of_.clear();
  for (const auto& [id, worker] : workers.All()) {
    std::set<std::string> filling;
    for (const auto& [task, run] : worker.runs)
      if (run.fills)
        filling.insert(run.image);
    if (filling.empty())
      continue;
    for (const std::string& service : ServiceImages(worker))
      for (const std::string& image : filling)
        ++workers_of_[{service, image}];
  }
}

void trial_counter::Add(const worker_entry& worker,
                        const std::string& filling_image) {
  if (Runs(worker, filling_image))
    return;
  for (const std::string& service : ServiceImages(worker))
    ++workers_of_[{service, filling_image}];
}

bool trial_counter::Allows(const worker_entry& worker,
                           const std::string& filling_image,
                           base::time_point now) const {
  const bool there = Runs(worker, filling_image);
  return std::ranges::all_of(
      ServiceImages(worker), [&](const std::string& service) {
        if (!learned_.IsUnknown(service, filling_image, now))
          return true;
        // One task of the image is trial enough.
        if (there)
          return false;
        const auto found = workers_of_.find({service, filling_image});
        return found == workers_of_.end() || found->second < kTrials;
      });
}

}  // namespace chivecrank::submissions::internal
