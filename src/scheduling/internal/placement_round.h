#ifndef CHIVECRANK_SCHEDULING_INTERNAL_PLACEMENT_ROUND_H_
#define CHIVECRANK_SCHEDULING_INTERNAL_PLACEMENT_ROUND_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/scheduling/attempt_tracker.h"
#include "chivecrank/scheduling/inflation_forecast.h"
#include "chivecrank/scheduling/planning_types.h"
#include "chivecrank/scheduling/shard_state.h"

namespace chivecrank::scheduling {

/// Inputs of a planning round. Refers to objects that must outlive it.
struct planning_context {
  const planner_settings& settings;
  const planner_hooks& hooks;
  const shard_state& state;
  const attempt_tracker& attempts;
  const inflation_forecast& forecast;
  const worker_health& health;
  base::wall_time now;
};

/// A task to place, with the resources to grant to it.
struct placement_request {
  const task* placed = nullptr;
  coordination::resources granted;
  /// Highest inflation that services on the same worker may reach.
  double inflation_limit = 0;
};

/// Predicted inflation of a service on a worker with batch work.
struct service_prediction {
  std::string service_template;
  double inflation = 1;
  /// Sum of the standard deviations of the contributions. They are added and
  /// not combined as squares, because errors for one template are correlated.
  double deviation = 0;
};

/// Predicts the inflation that an attempt with `share` of the worker's
/// processors adds to a service there.
pairing_estimate PredictAddedInflation(const planning_context& context,
                                       const std::string& worker_id,
                                       const std::string& service_template,
                                       const std::string& batch_template,
                                       double share);

/// Predicts the inflation of the services on a worker from its open attempts.
std::vector<service_prediction> PredictServices(const planning_context& context,
                                                const std::string& worker_id);

/// Resources of the workers during one planning round, including the starts
/// planned in it.
class placement_round {
 public:
  placement_round(const planning_context& context,
                  const std::vector<worker_view>& workers);

  /// Reserves capacity of a worker for one task.
  void Reserve(const std::string& worker_id,
               const std::string& task_id,
               const coordination::resources& size);

  /// Returns the index of the worker with the lowest cost, or nothing.
  std::optional<std::size_t> Choose(const placement_request& request);

  /// Whether some worker has capacity, without regard to interference.
  bool HasRoom(const placement_request& request) const;

  /// Records the request as started on the worker.
  void Commit(const placement_request& request, std::size_t worker);

  /// Whether the worker's capacity, health and reservations allow the request.
  bool IsFeasible(const placement_request& request, std::size_t worker) const;

  /// Capacity of the worker that is reserved for other tasks.
  coordination::resources ReservedForOthers(std::size_t worker,
                                            const std::string& task_id) const;

  /// Records that an attempt is told to stop in this round.
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
  /// Replica counts of one service by worker, rack and failure domain name.
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
    std::optional<std::vector<service_prediction>> services;
  };

  std::optional<std::size_t> ChooseByHook(const placement_request& request);
  std::optional<double> Cost(const placement_request& request,
                             std::size_t worker);
  std::optional<double> BatchCost(const placement_request& request,
                                  round_worker& target);
  double ServiceCost(const placement_request& request, round_worker& target);
  double PackingCost(const placement_request& request,
                     const round_worker& target) const;
  std::vector<service_prediction>& Services(round_worker& target);
  bool MayTryUnmeasuredPairing(const std::string& service_template,
                               const std::string& batch_template,
                               const pairing_estimate& slope);
  replica_counts& Replicas(const std::string& service_template);
  static void CountReplica(replica_counts& counts, const worker_view& target);

  const planning_context& context_;
  std::vector<round_worker> workers_;
  std::set<std::string> stopping_;
  /// Whether a service and a batch template run on a common worker, for the
  /// pairings that were looked up in this round.
  std::map<std::pair<std::string, std::string>, bool> pairing_runs_;
  std::map<std::string, replica_counts> replicas_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_INTERNAL_PLACEMENT_ROUND_H_
