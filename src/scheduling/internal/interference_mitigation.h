#ifndef CHIVECRANK_SCHEDULING_INTERNAL_INTERFERENCE_MITIGATION_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_INTERFERENCE_MITIGATION_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/scheduling/size_learner.h"
#include "internal/placement_round.h"

namespace chivecrank::scheduling {

/// Keeps services below their inflation limit by the cheapest sufficient action
/// on batch work: throttle, then checkpoint and move. There is one action per
/// worker and interval, so that its effect is measured before the next. The
/// thresholds for starting and undoing mitigation differ (hysteresis), and
/// moves are limited per minute and per task.
class interference_mitigation {
 public:
  /// Returns the actions for all workers. Work is moved to where `round` has
  /// capacity.
  std::vector<event> Plan(const planning_context& context,
                          placement_round& round,
                          const std::vector<worker_view>& workers,
                          const size_learner& sizes);

 private:
  std::optional<event> PlanWorker(const planning_context& context,
                                  placement_round& round,
                                  const std::string& worker_id,
                                  const size_learner& sizes);
  std::optional<event> ReduceInterference(const planning_context& context,
                                          placement_round& round,
                                          const std::string& worker_id,
                                          const service_prediction& degraded,
                                          const size_learner& sizes);
  std::optional<event> RestoreThrottled(
      const planning_context& context,
      const std::string& worker_id,
      const std::vector<service_prediction>& services);
  std::optional<event> MoveThrottled(const planning_context& context,
                                     placement_round& round,
                                     const std::string& worker_id,
                                     const size_learner& sizes);
  std::optional<event> Move(const planning_context& context,
                            placement_round& round,
                            const open_attempt& moved);
  bool IsBelowMoveLimit(const planning_context& context) const;

  std::map<std::string, base::wall_time> last_action_at_;
  std::map<std::string, base::wall_time> throttled_since_;
  std::deque<base::wall_time> recent_moves_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_INTERFERENCE_MITIGATION_H_
