#include "chivecrank/runtime/lease_horizon.h"

#include <algorithm>

namespace chivecrank::runtime {

bool lease_horizon::NeedsWitnesses(base::time_point recorded_at,
                                   base::time_point now) const {
  return now + settings_.witnessed_lease > recorded_at + settings_.worker_lease;
}

std::chrono::milliseconds lease_horizon::Grantable(base::time_point recorded_at,
                                                   bool is_witnessed,
                                                   base::time_point now) const {
  base::time_point end = recorded_at + settings_.worker_lease;
  if (is_witnessed)
    end = std::max(
        end, std::min(now + settings_.witnessed_lease, LatestEnd(recorded_at)));
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - now);
  return std::clamp(left, std::chrono::milliseconds(0), settings_.worker_lease);
}

base::time_point lease_horizon::LatestEnd(base::time_point seen_at) const {
  return seen_at + settings_.worker_lease + settings_.outage_extension;
}

base::time_point lease_horizon::LatestEndOfReplaced(
    base::time_point seen_at,
    base::time_point replaced_by) const {
  const base::time_point last_witnessed_grant =
      replaced_by + settings_.witness_age;
  const base::time_point end =
      std::max(seen_at + settings_.worker_lease,
               last_witnessed_grant + settings_.witnessed_lease);
  return std::min(end, LatestEnd(seen_at));
}

base::time_point lease_horizon::LatestEndOfEnded(
    base::time_point seen_at,
    base::time_point ended_by) const {
  return std::max(seen_at + settings_.worker_lease,
                  ended_by + settings_.witnessed_lease);
}

}  // namespace chivecrank::runtime
