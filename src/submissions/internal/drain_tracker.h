#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_DRAIN_TRACKER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_DRAIN_TRACKER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/submissions/domain_drain.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Keeps which failure domains are drained, marks their workers, and decides
/// how fast long-running tasks may leave them. The load it answers: a domain's
/// worth of services looks for room in neighbours that are nearly full.
class drain_tracker {
 public:
  drain_tracker(const scheduler_settings& settings, worker_table& workers)
      : settings_(settings), workers_(workers) {}

  /// Replaces the set of drained domains.
  void Set(const std::set<std::string>& domains, base::time_point now);
  /// The set is complete as of this time.
  void Confirm(base::time_point as_of);
  /// Marks the workers of drained domains; must be called after the list of
  /// workers has changed.
  void MarkWorkers();

  /// Whether what is known of drains is recent enough to start tasks.
  bool IsCurrent(base::time_point now) const;
  bool IsAnyDrained() const { return !drains_.empty(); }

  /// Updates which domains are empty and the room in the others; must be called
  /// before a round asks MayMove.
  void BeginRound(base::time_point now);
  /// Whether one more long-running task that reserves `demand_milli` may leave
  /// its drained domain now.
  bool MayMove(std::int64_t demand_milli) const;
  void OnMoved(const worker_entry& from, std::int64_t demand_milli);

  /// The drains with what is left there now.
  std::vector<domain_drain> All() const;

 private:
  void MarkEmpty(base::time_point now);
  /// Whether nothing runs in the domain.
  bool IsEmpty(const std::string& domain) const;
  void MeasureRoom();
  void AddAllowance(base::time_point now);

  const scheduler_settings& settings_;
  worker_table& workers_;
  /// Without the counts of workers and runs, which All() makes.
  std::map<std::string, domain_drain> drains_;
  std::optional<base::time_point> known_at_;
  /// Millicores of the workers that are not drained.
  std::int64_t usable_milli_ = 0;
  std::int64_t unreserved_milli_ = 0;
  /// Moves that may happen now; grows with time up to one second's worth.
  double allowance_ = 0;
  std::optional<base::time_point> allowance_at_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_DRAIN_TRACKER_H_
