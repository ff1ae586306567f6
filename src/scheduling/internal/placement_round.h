#ifndef CHIVECRANK_SCHEDULING_INTERNAL_PLACEMENT_ROUND_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_PLACEMENT_ROUND_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/scheduling/attempt_book.h"
#include "chivecrank/scheduling/inflation_forecast.h"
#include "chivecrank/scheduling/planning_types.h"
#include "chivecrank/scheduling/shard_state.h"

namespace chivecrank::scheduling {

/// What a decision reads.
struct planning_context {
  const planner_settings& settings;
  const planner_hooks& hooks;
  const shard_state& state;
  const attempt_book& book;
  const inflation_forecast& forecast;
  const worker_health& health;
  base::wall_time now;
};

/// A task to place with the sizes it is granted.
struct placement_request {
  const task* placed = nullptr;
  coordination::resources granted;
  /// Highest inflation that its neighbours may reach.
  double inflation_limit = 0;
};

/// A service beside which batch work may run, with the inflation predicted.
struct service_outlook {
  std::string service_template;
  double inflation = 1;
  /// Sum of the standard deviations; estimates of one template err together.
  double deviation = 0;
};

/// Inflation that one attempt adds to a service on its worker.
pairing_estimate Contribution(const planning_context& context,
                              const std::string& worker_id,
                              const std::string& service_template,
                              const std::string& batch_template,
                              double share);

/// The services on a worker and what they suffer from its open attempts.
std::vector<service_outlook> OutlookOf(const planning_context& context,
                                       const std::string& worker_id);

/// The workers as they fill up during one round of decisions.
class placement_round {
 public:
  placement_round(const planning_context& context,
                  const std::vector<worker_view>& workers);

  /// Keeps capacity of a worker for one task.
  void Reserve(const std::string& worker_id,
               const std::string& task_id,
               const coordination::resources& size);

  /// The best worker for the request, or nothing.
  std::optional<std::size_t> Choose(const placement_request& request);

  /// Whether some worker has room, interference aside.
  bool HasRoom(const placement_request& request) const;

  /// Counts the request as started on the worker.
  void Commit(const placement_request& request, std::size_t worker);

  /// Whether the worker may take the request: sizes, health, reservations.
  bool Admits(const placement_request& request, std::size_t worker) const;

  /// Capacity of the worker that is kept for other tasks.
  coordination::resources ReservedForOthers(std::size_t worker,
                                            const std::string& task_id) const;

  /// Notes that an attempt's end is ordered in this round.
  void MarkStopping(const std::string& task_id) { stopping_.insert(task_id); }
  bool IsStopping(const open_attempt& open) const {
    return open.stopping || stopping_.contains(open.request.id);
  }

  std::size_t size() const { return workers_.size(); }
  const worker_view& view(std::size_t worker) const {
    return *workers_[worker].view;
  }
  const coordination::resources& committed(std::size_t worker) const {
    return workers_[worker].committed;
  }

 private:
  /// Replicas of one service by worker, by rack and by failure domain.
  using replica_counts = std::map<std::string, int>;

  struct reservation {
    std::string task_id;
    coordination::resources size;
  };
  struct round_worker {
    const worker_view* view = nullptr;
    coordination::resources committed;
    bool usable = true;
    bool on_probation = false;
    std::vector<reservation> reservations;
    std::optional<std::vector<service_outlook>> services;
  };

  std::optional<std::size_t> ChooseByHook(const placement_request& request);
  std::optional<double> Cost(const placement_request& request,
                             std::size_t worker);
  std::optional<double> BatchCost(const placement_request& request,
                                  round_worker& on);
  double ServiceCost(const placement_request& request, round_worker& on);
  double PackingCost(const placement_request& request,
                     const round_worker& on) const;
  std::vector<service_outlook>& Services(round_worker& on);
  bool MayProbe(const std::string& service_template,
                const std::string& batch_template,
                const pairing_estimate& slope);
  replica_counts& Replicas(const std::string& service_template);
  static void CountReplica(replica_counts& counts, const worker_view& on);

  const planning_context& context_;
  std::vector<round_worker> workers_;
  std::set<std::string> stopping_;
  /// Pairings of which an attempt runs, as far as they were asked for.
  std::map<std::pair<std::string, std::string>, bool> paired_;
  std::map<std::string, replica_counts> replicas_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_PLACEMENT_ROUND_H_
