#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_RELOCATOR_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_RELOCATOR_H_

#include <functional>
#include <vector>

#include "internal/full_shapes.h"
#include "internal/placer.h"
#include "internal/run_book.h"

namespace chivecrank::submissions::internal {

/// Stops runs where they should not stay, when another worker can take them;
/// they go on there from their checkpoints.
class relocator {
 public:
  /// What a task of a submission asks for.
  using request_builder =
      std::function<placement_request(const live_submission& live,
                                      const task_ref& task,
                                      base::time_point now)>;

  relocator(run_book& book,
            placer& workers,
            full_shapes& full,
            request_builder request_for)
      : book_(book),
        placer_(workers),
        full_(full),
        request_for_(std::move(request_for)) {}

  /// Moves filling tasks that disturb a service where they are and would not
  /// elsewhere.
  void MoveDisturbing(base::time_point now);

  /// Moves tasks that make no progress where they are.
  void MoveStalled(base::time_point now);

  /// Moves lasting tasks, and long ones that can go on from a checkpoint, off
  /// workers that are about to leave.
  void EmptyDraining(base::time_point now);

  /// Gives back the room that was held for moves of this round.
  void EndRound();

 private:
  struct held_room {
    worker_entry* worker = nullptr;
    task_ref task;
  };

  static bool ShouldLeave(const active_run& run,
                          const step_request& step,
                          base::time_point now);
  /// Whether one more task of a lasting step may be away. Half of those on a
  /// worker go at a time, since the worker may be gone before the last.
  bool MayBeAway(const worker_entry& worker, const task_ref& task);
  std::int32_t TasksAway(const task_ref& task);
  bool IsAtWork(const task_ref& task);
  /// Stops the run if another worker has room for its task.
  void Move(worker_entry& worker,
            const task_ref& task,
            scheduler_event_kind why,
            std::int64_t input,
            base::time_point now);
  /// Holds room for the task on another worker until the round ends; false when
  /// there is none.
  bool HoldRoom(const worker_entry& runs_on,
                const live_submission& live,
                const task_ref& task,
                base::time_point now);

  run_book& book_;
  placer& placer_;
  full_shapes& full_;
  const request_builder request_for_;
  std::vector<held_room> held_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_RELOCATOR_H_
