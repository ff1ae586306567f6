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

/// Limits and intervals of planning. Inflations are latencies relative to those
/// of the service without batch work on its worker.
struct planner_settings {
  /// Batch work is placed only where the predicted inflation stays below this.
  double max_placement_inflation = 1.25;
  /// The same limit for work that would otherwise miss its due time.
  double max_at_risk_placement_inflation = 1.3;
  /// Above this inflation, batch work beside the service is throttled or moved.
  double mitigation_threshold = 1.35;
  /// Throttled work gets its processors back if the inflation then stays below
  /// this.
  double restore_threshold = 1.2;
  /// Standard deviations that placement adds to an estimate as a safety margin.
  double placement_deviations = 0.5;
  /// Minimum time between two mitigation actions on one worker, because
  /// measurements arrive late.
  std::chrono::seconds mitigation_interval{4};
  /// Work that has been throttled for this long is moved if another worker has
  /// capacity.
  std::chrono::seconds throttled_time_before_move{20};
  /// Maximum number of attempts of one task that mitigation may end.
  std::int32_t eviction_limit = 3;
  /// Maximum number of mitigation actions per minute that end an attempt.
  std::size_t max_moves_per_minute = 12;
  /// Work is neither throttled nor moved if its estimated remaining run time is
  /// positive and less than this. Work that has reached its estimate is not
  /// exempt.
  std::chrono::seconds nearly_done_run_time{15};
  /// Time for saving a checkpoint when urgent work preempts an attempt.
  std::chrono::milliseconds preemption_grace{1200};
  /// Time for saving a checkpoint when an attempt is moved.
  std::chrono::milliseconds move_grace{20'000};
  /// How long batch work that fits on no worker must have been queued before a
  /// worker is reserved for it.
  std::chrono::seconds reservation_delay{60};
  /// No worker is reserved for such batch work while there are this many
  /// reservations, including those for tasks that preempt batch work.
  std::size_t max_reservations = 2;
  /// Delay after the first crash; doubles with each further crash.
  std::chrono::seconds initial_backoff{5};
  std::chrono::seconds max_backoff{300};
  /// Whether services are protected by throttling and moving batch work.
  bool mitigation_enabled = true;
  /// Whether urgent work may end batch attempts.
  bool preemption_enabled = true;
  /// Whether sizes and run times are learned and faulty workers are detected.
  bool learning_enabled = true;
  interference_settings interference;
  health_settings health;
};

/// A worker that a task could start on.
struct placement_candidate {
  const worker_view* worker = nullptr;
  coordination::resources committed;
};

/// Callbacks that replace default behaviour; each may be empty.
struct planner_hooks {
  /// Interference of pairings that is known without learning.
  interference_hook known_interference;
  /// This shard's part of a team's quota; nothing means no quota.
  std::function<std::optional<coordination::resources>(const std::string& team)>
      quota_of;
  /// Weight of a client account in fair sharing.
  std::function<double(const std::string& account)> weight_of;
  /// Chooses among the feasible workers for batch work; returns an index into
  /// them.
  std::function<std::size_t(const std::vector<placement_candidate>&)>
      choose_worker;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_PLANNING_TYPES_H_
