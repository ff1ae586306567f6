#ifndef CHIVECRANK_SCHEDULING_PLANNER_H_
#define CHIVECRANK_SCHEDULING_PLANNER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivecrank/scheduling/attempt_book.h"
#include "chivecrank/scheduling/inflation_forecast.h"
#include "chivecrank/scheduling/planning_types.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/scheduling/size_learner.h"
#include "chivecrank/scheduling/waiting_queues.h"
#include "chivecrank/scheduling/worker_health.h"

namespace chivecrank::scheduling {

class placement_round;
class relief;
struct planning_context;

/// A worker kept for a task until it starts there.
struct held_worker {
  std::string worker_id;
  coordination::resources size;
  base::wall_time until;
};

/// Kept workers by task.
using held_workers = std::map<std::string, held_worker>;

/// The sizes of all workers that were seen.
struct fleet_sizes {
  coordination::resources total;
  /// The largest of each dimension.
  coordination::resources largest;
};

/// Decides what the tasks of a shard do next. Deterministic: the same events,
/// samples and times give the same decisions. Times are times of day, since
/// due times outlive a process; a clock that jumps can cost a late or an early
/// act of relief, never a limit.
class planner {
 public:
  planner(planner_settings settings, planner_hooks hooks);
  ~planner();

  /// Takes over the tasks of a state that was read from the journal. What was
  /// learned starts afresh.
  void Restore(const shard_state& read, base::wall_time now);

  /// Follows an event that was just applied to `after`. Has to see each one.
  void Observe(const event& recorded,
               const shard_state& after,
               base::wall_time now);
  /// Learns from a late measurement of a service.
  void Observe(const service_sample& sample);
  /// Learns the size of a template.
  void Observe(const usage_sample& sample);

  /// The events to record and carry out now, in their order. None commits a
  /// worker beyond its capacity. `workers` are those that take tasks.
  std::vector<event> Plan(const shard_state& state,
                          const std::vector<worker_view>& workers,
                          base::wall_time now);

 private:
  void ObserveEnd(const attempt_ended& ended,
                  const open_attempt& closed,
                  base::wall_time now);
  base::wall_time NotBefore(const event& recorded,
                            const shard_state& after,
                            base::wall_time now) const;
  void UpdateCapacities(const std::vector<worker_view>& workers);
  std::vector<event> PlanGangStops(const planning_context& context,
                                   placement_round& round) const;
  void ApplyHolds(const planning_context& context, placement_round& round);

  const planner_settings settings_;
  const planner_hooks hooks_;
  attempt_book book_;
  waiting_queues queues_;
  inflation_forecast forecast_;
  size_learner sizes_;
  worker_health health_;
  const std::unique_ptr<relief> relief_;
  std::map<std::string, coordination::resources> capacities_;
  fleet_sizes fleet_;
  base::wall_time next_relief_;
  held_workers held_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_PLANNER_H_
