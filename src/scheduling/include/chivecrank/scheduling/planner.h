#ifndef CHIVECRANK_SCHEDULING_PLANNER_H_
#define CHIVECRANK_SCHEDULING_PLANNER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivecrank/scheduling/attempt_tracker.h"
#include "chivecrank/scheduling/inflation_forecast.h"
#include "chivecrank/scheduling/planning_types.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/scheduling/size_learner.h"
#include "chivecrank/scheduling/waiting_queues.h"
#include "chivecrank/scheduling/worker_health.h"

namespace chivecrank::scheduling {

class placement_round;
class interference_mitigation;
struct planning_context;

/// Capacity of a worker that is reserved for a task until it starts there.
struct worker_reservation {
  std::string worker_id;
  coordination::resources size;
  base::wall_time expires_at;
};

/// Reservations by task.
using worker_reservations = std::map<std::string, worker_reservation>;

/// Capacities of all workers seen so far.
struct cluster_capacity {
  coordination::resources total;
  /// The maximum in each dimension, possibly of different workers.
  coordination::resources largest;
};

/// Plans the next events of a shard's tasks. Deterministic: the same events,
/// samples and times give the same plan. Times are wall-clock times, because
/// due times outlive a process. A clock step can make a mitigation action late
/// or early, but never makes a plan exceed a limit.
class planner {
 public:
  planner(planner_settings settings, planner_hooks hooks);
  ~planner();

  /// Loads the tasks of a state that was read from the journal. Learned sizes,
  /// run times and worker health are not restored.
  void Restore(const shard_state& read, base::wall_time now);

  /// Updates the planner for an event that was just applied to `after`. Must be
  /// called for each event.
  void Observe(const event& recorded,
               const shard_state& after,
               base::wall_time now);
  /// Updates the inflation forecast from a measurement of a service.
  void Observe(const service_sample& sample);
  /// Updates the size of a template.
  void Observe(const usage_sample& sample);

  /// Returns the events to record and carry out now, in this order. None
  /// commits a worker beyond its capacity. `workers` are those that accept
  /// tasks.
  std::vector<event> Plan(const shard_state& state,
                          const std::vector<worker_view>& workers,
                          base::wall_time now);

 private:
  void ObserveEnd(const attempt_ended& ended,
                  const open_attempt& closed,
                  base::wall_time now);
  base::wall_time EarliestRetry(const event& recorded,
                                const shard_state& after,
                                base::wall_time now) const;
  void UpdateCapacities(const std::vector<worker_view>& workers);
  std::vector<event> PlanGangStops(const planning_context& context,
                                   placement_round& round) const;
  void ApplyReservations(const planning_context& context,
                         placement_round& round);

  const planner_settings settings_;
  const planner_hooks hooks_;
  attempt_tracker attempts_;
  waiting_queues queues_;
  inflation_forecast forecast_;
  size_learner sizes_;
  worker_health health_;
  const std::unique_ptr<interference_mitigation> mitigation_;
  std::map<std::string, coordination::resources> capacities_;
  cluster_capacity cluster_;
  base::wall_time next_mitigation_;
  worker_reservations reservations_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_PLANNER_H_
