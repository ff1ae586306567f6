#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PLANNER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PLANNER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "internal/candidate_queue.h"
#include "internal/choice_waits.h"
#include "internal/drain_tracker.h"
#include "internal/infeasibility_cache.h"
#include "internal/placer.h"
#include "internal/relocator.h"
#include "internal/run_tracker.h"
#include "internal/step_order.h"

namespace chivecrank::submissions::internal {

/// Decides which waiting tasks start and where; see SortByUrgency for the
/// order.
class planner {
 public:
  planner(const scheduler_settings& settings,
          run_tracker& tracker,
          interference_model& interference,
          permit_tracker& permits,
          drain_tracker& drains)
      : settings_(settings),
        tracker_(tracker),
        permits_(permits),
        drains_(drains),
        waits_(settings.longest_choice),
        placer_(settings, tracker.Workers(), interference, tracker.Health()),
        relocator_(tracker,
                   placer_,
                   infeasible_,
                   drains,
                   [this](const live_submission& live,
                          const task_ref& task,
                          base::time_point now) {
                     return RequestFor(live, task, now);
                   }) {}

  void SetPolicy(const std::string& queue, const queue_policy& policy) {
    policies_[queue] = policy;
  }

  /// Moves runs that should leave their workers, then assigns waiting tasks.
  void Plan(base::time_point now, std::chrono::milliseconds since_epoch);

  const placer& Placer() const { return placer_; }
  bool NeedsPermit(const live_submission& live) const {
    return PolicyOf(live).permits.has_value();
  }
  /// Returns the permit requests of the rounds since the last call.
  std::vector<permit_request> TakePermitRequests() {
    return std::exchange(permit_requests_, {});
  }

 private:
  /// Whether any worker has answered this owner.
  bool HasAnswer() const;
  void Place(const std::vector<ready_step>& ready, base::time_point now);
  std::vector<ready_step> ReadySteps(base::time_point now,
                                     std::chrono::milliseconds since_epoch);
  const queue_policy& PolicyOf(const live_submission& live) const;
  /// Whether the task must wait until another of its step, under suspicion as
  /// well, has survived its start. Tasks of a step are alike.
  static bool AwaitsTrial(const live_step& step, const task_progress& task);
  void PlaceTasks(const ready_step& ready, base::time_point now);
  /// Assigns the task to the best worker; returns false if there is none.
  bool PlaceTask(const placement_request& request, candidate_queue& workers);
  /// Places a task that may crash its worker, if a worker can take it.
  void PlaceApart(const ready_step& ready, const placement_request& request);
  /// Prepares for a later round a task that no worker can take now.
  void OnNoWorker(const ready_step& ready, const placement_request& request);
  /// Counts the time that the task waits, and tells of a wait that is long.
  void RecordWait(const placement_request& request);
  /// Requests permits for the best workers without a known permit, if the step
  /// needs permits.
  void RequestPermits(const ready_step& ready,
                      const placement_request& request);
  void PlaceGang(const ready_step& ready, base::time_point now);
  /// Places all tasks of a step under the constraints of `request`, which is
  /// for the first of them.
  bool PlaceGangOn(const ready_step& ready, const placement_request& request);
  /// Chooses workers for all tasks of a step; empty if any task finds no
  /// capacity.
  std::vector<worker_entry*> ChooseForAll(const ready_step& ready,
                                          placement_request request);
  /// Places a task that has waited too long for a worker of its choice on any
  /// that can take it.
  bool PlaceAfterWait(const placement_request& request);
  /// Whether a task must give up its choice of workers to be placed.
  bool HasWaited(const placement_request& request) const;
  /// Whether a long-running submission should wait, so that it can move to a
  /// shard with capacity for all of its tasks instead of starting here in part.
  bool WaitsForFullCapacity(const ready_step& ready, base::time_point now);
  placement_request RequestFor(const live_submission& live,
                               const task_ref& task,
                               base::time_point now);
  std::vector<std::string> RacksByFreeCapacity() const;

  const scheduler_settings& settings_;
  run_tracker& tracker_;
  permit_tracker& permits_;
  drain_tracker& drains_;
  std::vector<permit_request> permit_requests_;
  choice_waits waits_;
  placer placer_;
  infeasibility_cache infeasible_;
  relocator relocator_;
  std::map<std::string, queue_policy> policies_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PLANNER_H_
