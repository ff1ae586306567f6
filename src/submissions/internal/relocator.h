#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_RELOCATOR_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_RELOCATOR_H_

#include <functional>
#include <vector>

#include "internal/drain_tracker.h"
#include "internal/infeasibility_cache.h"
#include "internal/placer.h"
#include "internal/run_tracker.h"

namespace chivecrank::submissions::internal {

/// Stops runs that should leave their workers, if another worker can take them.
/// Their tasks resume there from their checkpoints.
class relocator {
 public:
  /// Builds the placement request of a task.
  using request_builder =
      std::function<placement_request(const live_submission& live,
                                      const task_ref& task,
                                      base::time_point now)>;

  relocator(run_tracker& tracker,
            placer& workers,
            infeasibility_cache& full,
            drain_tracker& drains,
            request_builder request_for)
      : tracker_(tracker),
        placer_(workers),
        infeasible_(full),
        drains_(drains),
        request_for_(std::move(request_for)) {}

  /// Moves throttled best-effort tasks to workers where they would not
  /// interfere with a service.
  void MoveInterfering(base::time_point now);

  /// Moves tasks that make no progress.
  void MoveStalled(base::time_point now);

  /// Moves long-running tasks, and long tasks that can resume from a
  /// checkpoint, off draining workers. The long-running tasks of a step take
  /// turns while there is time.
  void EvacuateDraining(base::time_point now);

  /// Moves long-running tasks out of drained failure domains, at the pace of
  /// drain_tracker; all others end where they are.
  void LeaveDrainedDomains(base::time_point now);

  /// Releases the capacity that was reserved for moves of this round.
  void EndRound();

 private:
  struct reservation {
    worker_entry* worker = nullptr;
    task_ref task;
  };

  /// Whether the task of a throttled run would probably end sooner elsewhere.
  bool IsWorthMovingFrom(const task_ref& task, const active_run& run);
  void Evacuate(worker_entry& worker,
                const task_ref& task,
                base::time_point now);
  static bool ShouldEvacuate(const active_run& run,
                             const step_request& step,
                             base::time_point now);
  /// Whether a task may leave a draining worker before the others of its step
  /// that are on their way serve.
  bool IsItsTurn(const worker_entry& worker, const task_ref& task);
  /// Whether the task does not serve, and waiting for it makes sense: its run
  /// isn't on a silent worker, where it may have been lost.
  bool IsAwayForNow(const task_ref& task);
  /// Whether a task that serves may become unavailable. At least one of its
  /// step may, whatever the step says.
  bool CanBeUnavailable(const task_ref& task);
  /// Moves the tasks of one worker in a drained domain; returns false once no
  /// more may move in this round.
  bool LeaveDrainedDomain(worker_entry& worker, base::time_point now);
  /// How many other tasks of its step match.
  std::int32_t CountOthers(const task_ref& task,
                           const std::function<bool(const task_ref&)>& matches);
  bool IsServing(const task_ref& task);
  /// Stops the run if another worker has capacity for its task; returns
  /// whether it did.
  bool Move(worker_entry& worker,
            const task_ref& task,
            scheduler_event_kind kind,
            std::int64_t input,
            base::time_point now);
  /// Reserves capacity for the task on another worker until the round ends;
  /// returns false if there is none.
  bool ReserveCapacity(const worker_entry& current_worker,
                       const live_submission& live,
                       const task_ref& task,
                       base::time_point now);

  run_tracker& tracker_;
  placer& placer_;
  infeasibility_cache& infeasible_;
  drain_tracker& drains_;
  const request_builder request_for_;
  std::vector<reservation> reservations_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_RELOCATOR_H_
