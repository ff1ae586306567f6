#ifndef CHIVECRANK_SCHEDULING_PLANNING_TYPES_H_
#define CHIVECRANK_SCHEDULING_PLANNING_TYPES_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/scheduling/inflation_forecast.h"
#include "chivecrank/scheduling/worker_health.h"

namespace chivecrank::scheduling {

/// What decisions aim at. Inflations are latencies relative to those of the
/// service alone.
struct planner_settings {
  /// Batch work is placed only where services stay below this.
  double place_below = 1.25;
  /// The same for work that would otherwise miss its due time.
  double place_at_risk_below = 1.3;
  /// Above this batch work beside a service is throttled or moved.
  double relieve_above = 1.35;
  /// Throttled work gets its processors back when the service stays below.
  double restore_below = 1.2;
  /// Standard deviations of an estimate that placement adds for caution.
  double caution = 0.5;
  /// Time between two acts of relief on one worker; measurements lag.
  std::chrono::seconds relief_interval{4};
  /// Throttled work that has waited this long is moved if there is room.
  std::chrono::seconds throttled_before_move{20};
  /// Attempts of one task that relief may end.
  std::int32_t eviction_limit = 3;
  /// Acts of relief that end an attempt, in one minute.
  std::size_t moves_per_minute = 12;
  /// Work with less left than this is let finish.
  std::chrono::seconds nearly_done{15};
  /// Time for saving when an attempt makes room for urgent work.
  std::chrono::milliseconds preemption_grace{1200};
  /// Time for saving when an attempt is moved.
  std::chrono::milliseconds move_grace{20'000};
  /// Batch work that fits nowhere for this long gets a worker reserved.
  std::chrono::seconds reserve_after{60};
  std::size_t reservations = 2;
  /// First delay after a crash; doubles with each further one.
  std::chrono::seconds backoff{5};
  std::chrono::seconds longest_backoff{300};
  /// Whether services are relieved and urgent work preempts.
  bool mitigation_enabled = true;
  bool preemption_enabled = true;
  /// Whether sizes, run times and bad workers are learned.
  bool learning_enabled = true;
  interference_settings interference;
  health_settings health;
};

/// A worker that a task could start on.
struct placement_candidate {
  const worker_view* worker = nullptr;
  coordination::resources committed;
};

/// Behaviour that varies; each may be empty.
struct planner_hooks {
  /// The true interference of pairings, if it is known.
  interference_hook known_interference;
  /// This shard's part of a team's quota.
  std::function<std::optional<coordination::resources>(const std::string& team)>
      quota_of;
  /// Weight of a client account in fair shares.
  std::function<double(const std::string& account)> weight_of;
  /// Replaces the choice among feasible workers for batch work by an index
  /// into them.
  std::function<std::size_t(const std::vector<placement_candidate>&)>
      choose_worker;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_PLANNING_TYPES_H_
