#ifndef CHIVECRANK_RUNTIME_LEASE_HORIZON_H_
#define CHIVECRANK_RUNTIME_LEASE_HORIZON_H_

#include <chrono>

#include "chivecrank/base/clock.h"

namespace chivecrank::runtime {

/// The same at all instances.
struct lease_horizon_settings {
  /// Longest lease of a worker.
  std::chrono::milliseconds worker_lease{0};
  /// How much further the leases of witnessed owners may reach.
  std::chrono::milliseconds outage_extension{4000};
  /// How old the answers of witnesses may be, from when they were asked.
  std::chrono::milliseconds witness_age{2000};
  /// Longest lease that an owner grants on the word of witnesses.
  std::chrono::milliseconds witnessed_lease{2300};
};

/// Until when an owner may grant worker leases, and what its successor
/// concludes from that about runs on workers that it doesn't reach.
///
/// An owner writes its tenure to the store again and again, which it can do
/// only as the owner. All its leases end within `worker_lease` after it sent
/// the newest of these writes. While the store takes none, it may go on for as
/// long as workers witness that they follow no newer owner. An owner that a
/// successor has replaced finds no witnesses `witness_age` after that one has
/// asked them. The load it answers: an owner that dies together with workers.
class lease_horizon {
 public:
  explicit lease_horizon(const lease_horizon_settings& settings)
      : settings_(settings) {}

  /// Whether a full lease needs witnesses. `recorded_at`: when the owner sent
  /// the newest write of its tenure that was applied.
  bool NeedsWitnesses(base::time_point recorded_at, base::time_point now) const;
  /// The longest lease that may be granted; 0 for none.
  std::chrono::milliseconds Grantable(base::time_point recorded_at,
                                      bool is_witnessed,
                                      base::time_point now) const;

  /// When the leases end at the latest that an earlier owner granted whose
  /// newest tenure was first seen at `seen_at`.
  base::time_point LatestEnd(base::time_point seen_at) const;
  /// The same for an owner that most workers had ceased to follow by
  /// `replaced_by`.
  base::time_point LatestEndOfReplaced(base::time_point seen_at,
                                       base::time_point replaced_by) const;
  /// The same for an owner that had ended by `ended_by`.
  base::time_point LatestEndOfEnded(base::time_point seen_at,
                                    base::time_point ended_by) const;

 private:
  const lease_horizon_settings settings_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_LEASE_HORIZON_H_
