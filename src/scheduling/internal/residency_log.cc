#include "chivecrank/scheduling/residency_log.h"

#include <algorithm>

namespace chivecrank::scheduling {

residency_log::residency_log(std::chrono::seconds retention)
    : retention_(retention) {}

void residency_log::Set(const std::string& worker_id,
                        const std::string& task_id,
                        const std::string& batch_template,
                        double share,
                        base::wall_time now) {
  End(worker_id, task_id, now);
  workers_[worker_id].push_back({task_id, batch_template, share, now});
}

void residency_log::End(const std::string& worker_id,
                        const std::string& task_id,
                        base::wall_time now) {
  const auto found = workers_.find(worker_id);
  if (found == workers_.end())
    return;
  for (residency_interval& known : found->second) {
    if (known.task_id == task_id && known.to == base::wall_time::max())
      known.to = now;
  }
  std::erase_if(found->second, [&](const residency_interval& known) {
    return known.to < now - retention_;
  });
  if (found->second.empty())
    workers_.erase(found);
}

std::vector<exposure> residency_log::MeanExposures(const std::string& worker_id,
                                                   base::wall_time from,
                                                   base::wall_time to) const {
  const auto found = workers_.find(worker_id);
  if (found == workers_.end() || to <= from)
    return {};
  const std::chrono::duration<double> window = to - from;
  std::map<std::string, double> shares;
  for (const residency_interval& known : found->second) {
    const std::chrono::duration<double> overlap =
        std::min(to, known.to) - std::max(from, known.from);
    if (overlap.count() > 0)
      shares[known.batch_template] += known.share * (overlap / window);
  }
  std::vector<exposure> exposures;
  exposures.reserve(shares.size());
  for (const auto& [name, share] : shares)
    exposures.push_back({name, share});
  return exposures;
}

}  // namespace chivecrank::scheduling
