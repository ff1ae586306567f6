#ifndef CHIVECRANK_SCHEDULING_INTERNAL_START_PLANNER_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_START_PLANNER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "chivecrank/scheduling/planner.h"
#include "internal/placement_round.h"

namespace chivecrank::scheduling {

/// Plans the starts of one round: services, then urgent work, then batch work
/// that would miss its due time, then the team and client account with the
/// smallest dominant share. An object is used for one round.
class start_planner {
 public:
  start_planner(const planning_context& context,
                const waiting_queues& queues,
                const size_learner& sizes,
                const cluster_capacity& fleet,
                placement_round& round,
                worker_reservations& reservations);

  /// Returns starts, stops of preempted attempts, and tasks to park.
  std::vector<event> Plan();

 private:
  struct queue_cursor {
    const queue_key* key = nullptr;
    std::set<queue_entry>::const_iterator next;
    std::set<queue_entry>::const_iterator end;
    bool at_risk = false;
    /// Tasks of this queue without a feasible worker in this round.
    int unplaced = 0;
  };
  /// Sort key of queues; the smallest is served first.
  using rank = std::tuple<priority_class,
                          bool,
                          double,
                          double,
                          base::wall_time,
                          base::wall_time,
                          std::string_view>;

  void OpenQueues();
  queue_cursor* NextQueue();
  rank RankOf(const queue_cursor& queue) const;
  /// Estimated seconds to finish all waiting work with a due time.
  double SecondsForDueWork() const;
  bool IsAtRisk(const queue_key& key,
                const std::set<queue_entry>& entries,
                double due_work_s) const;
  void ServeHead(queue_cursor& queue);
  void HandleUnplaced(queue_cursor& queue,
                      const queue_entry& entry,
                      const std::vector<placement_request>& members);
  std::optional<std::string> ReasonToPark(const task& waiting) const;
  std::vector<placement_request> RequestsFor(const task& head,
                                             bool at_risk) const;
  placement_request RequestFor(const task& waiting, bool at_risk) const;
  double InflationLimit(const task_request& request, bool at_risk) const;
  coordination::resources GrantFor(const task_request& request) const;
  bool IsWithinQuota(const std::vector<placement_request>& members) const;
  bool Place(const std::vector<placement_request>& members);
  void RecordStart(const placement_request& started, std::size_t worker);
  void PreemptFor(const placement_request& request);
  void ReserveForLater(const placement_request& request);

  coordination::resources TeamUse(const std::string& team) const;
  coordination::resources AccountUse(const std::string& account) const;

  const planning_context& context_;
  const waiting_queues& queues_;
  const size_learner& sizes_;
  const cluster_capacity& cluster_;
  placement_round& round_;
  worker_reservations& reservations_;
  std::vector<queue_cursor> cursors_;
  std::vector<event> planned_;
  std::set<std::string> started_;
  std::map<std::string, coordination::resources> started_by_team_;
  std::map<std::string, coordination::resources> started_by_account_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_START_PLANNER_H_
