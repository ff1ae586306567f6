#ifndef CHIVECRANK_SCHEDULING_INTERNAL_RELIEF_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_RELIEF_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/scheduling/size_learner.h"
#include "internal/placement_round.h"

namespace chivecrank::scheduling {

/// Keeps services below their inflation limit by the cheapest act that works:
/// throttle, then save and move, then evict. One act per worker and interval,
/// so that its effect is seen before the next; a gap between the limits that
/// start and undo relief; a limit on moves per minute and per task.
class relief {
 public:
  /// The acts for all workers now. `round` tells where moved work could go.
  std::vector<event> Plan(const planning_context& context,
                          placement_round& round,
                          const std::vector<worker_view>& workers,
                          const size_learner& sizes);

 private:
  std::optional<event> PlanWorker(const planning_context& context,
                                  placement_round& round,
                                  const std::string& worker_id,
                                  const size_learner& sizes);
  std::optional<event> Relieve(const planning_context& context,
                               placement_round& round,
                               const std::string& worker_id,
                               const service_outlook& suffering,
                               const size_learner& sizes);
  std::optional<event> Restore(const planning_context& context,
                               const std::string& worker_id,
                               const std::vector<service_outlook>& services);
  std::optional<event> MoveStalled(const planning_context& context,
                                   placement_round& round,
                                   const std::string& worker_id,
                                   const size_learner& sizes);
  std::optional<event> Move(const planning_context& context,
                            placement_round& round,
                            const open_attempt& moved);
  bool MayMove(const planning_context& context) const;

  std::map<std::string, base::wall_time> acted_;
  std::map<std::string, base::wall_time> throttled_since_;
  std::deque<base::wall_time> moves_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_RELIEF_H_
