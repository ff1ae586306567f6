#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/interference_model.h"
#include "internal/permit_tracker.h"
#include "internal/trial_counter.h"
#include "internal/worker_health.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// A task to be placed and its constraints.
struct placement_request {
  const step_request* step = nullptr;
  const task_progress* progress = nullptr;
  const std::string* service = nullptr;
  image_number image = 0;
  task_ref task;
  /// The task is suspected of crashing its workers.
  bool on_trial = false;
  /// It ends with its submission's failure if its next run fails.
  bool last_attempt = false;
  /// No worker has taken it for too long; see choice_waits.
  bool has_waited = false;
  /// Worker that the task is moved away from; null if it runs nowhere.
  const worker_entry* current_worker = nullptr;
  /// Restricts the choice to one rack; empty for any.
  std::string rack;
  /// Set if the task needs a permit for its worker.
  const permit_tracker* permits = nullptr;
  base::time_point now;

  /// Whether an earlier run counts against the task's attempts.
  bool IsRetry() const { return !step->long_running && progress->failures > 0; }
  /// Whether its wait for a worker says nothing of the others of its step.
  bool WaitsAlone() const { return IsRetry() && !step->gang; }
};

/// Decides which workers can take a run and scores them.
class placer {
 public:
  placer(const scheduler_settings& settings,
         worker_table& workers,
         interference_model& interference,
         worker_health& health)
      : settings_(settings),
        workers_(workers),
        interference_(interference),
        health_(health),
        trials_(interference) {}

  /// Updates all derived state; must be called before each planning round.
  void BeginRound(base::time_point now);
  /// Must be called before the task of `request` is assigned to the worker.
  void OnAssign(worker_entry& worker, const placement_request& request);
  worker_table& Workers() const { return workers_; }
  const worker_health& Health() const { return health_; }
  /// Reserves the eligible worker with the most free processors for a task of a
  /// service until the round ends.
  void ReserveWorkerFor(const placement_request& request);

  /// Number of times that a worker was scored so far: the cost of placement.
  std::uint64_t ScoredWorkers() const { return scored_; }

  /// Number of runs of the task's step on the worker.
  static std::int32_t RunsOfStep(const worker_entry& worker,
                                 const task_ref& task);

  /// Whether the record of the worker's runs allows the start; it may allow
  /// that of other tasks of the step.
  bool IsTrusted(const worker_entry& worker,
                 const placement_request& request) const;

  /// Number of workers with room that only the record of their runs rules out.
  std::int64_t CountLeftOut(const placement_request& request) const;

  /// Scores the worker for the task; empty if it can't take the task.
  std::optional<double> ScoreOf(worker_entry& worker,
                                const placement_request& request) const;

 private:
  /// Whether the worker has enough unreserved capacity.
  static bool HasRoom(const worker_entry& worker,
                      const placement_request& request);
  /// Whether the worker is eligible and has enough unreserved capacity.
  bool HasCapacity(const worker_entry& worker,
                   const placement_request& request) const;
  /// Whether the demand fits if only the long-running tasks stay on the worker.
  bool FitsBesideServices(worker_entry& worker,
                          const coordination::resources& demand) const;
  /// Whether the worker meets all constraints other than free capacity and the
  /// record of its runs.
  bool IsSuitable(const worker_entry& worker,
                  const placement_request& request) const;
  /// Whether the worker meets all constraints other than free capacity.
  bool IsEligible(const worker_entry& worker,
                  const placement_request& request) const;
  /// Scores the worker for a best-effort task; empty if too few processors are
  /// idle or the interference would be too large.
  std::optional<double> BestEffortScore(worker_entry& worker,
                                        const placement_request& request) const;
  /// Scores the worker for a task that may crash it: the less would be lost
  /// there, the better.
  static double TrialScore(const worker_entry& worker);
  /// Whether the task failed last in the worker's failure domain.
  bool FailedInDomainOf(const worker_entry& worker,
                        const placement_request& request) const;
  /// Adds bonuses and penalties that do not depend on capacity.
  double FitnessOf(worker_entry& worker,
                   const placement_request& request) const;

  const scheduler_settings& settings_;
  worker_table& workers_;
  interference_model& interference_;
  worker_health& health_;
  trial_counter trials_;
  mutable std::uint64_t scored_ = 0;
};

/// The request as it would be if the task had never run.
placement_request WithoutHistory(const placement_request& request);

/// Resources that a run of the step reserves on its worker.
coordination::resources ReservedBy(const step_request& step);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_
