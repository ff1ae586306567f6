#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_

#include <optional>
#include <string>

#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/interference.h"
#include "internal/trial_counter.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What a choice of worker is made for.
struct placement_request {
  const step_request* step = nullptr;
  const task_progress* progress = nullptr;
  const std::string* service = nullptr;
  task_ref task;
  /// Only workers of this rack; empty for any.
  std::string rack;
  base::time_point now;
};

/// Chooses the worker for a run.
class placer {
 public:
  placer(const scheduler_settings& settings,
         worker_table& workers,
         const interference& learned)
      : settings_(settings),
        workers_(workers),
        learned_(learned),
        trials_(learned) {}

  /// Takes stock of the runs; call it before a round of choices.
  void BeginRound() { trials_.Recount(workers_); }
  /// The task of the last choice is being assigned.
  void OnAssign(const worker_entry& worker, const step_request& step) {
    if (step.fills)
      trials_.Add(worker, step.image);
  }

  /// The best worker that can take the task now; null when there is none.
  worker_entry* Choose(const placement_request& request) const;

 private:
  /// Whether the worker can take the task as far as reservations and bindings
  /// go.
  bool HasRoom(const worker_entry& worker,
               const placement_request& request) const;
  /// How good the worker is for a filling task; nothing when it would find too
  /// little idle or disturb too much there.
  std::optional<double> FillingScore(const worker_entry& worker,
                                     const placement_request& request) const;
  /// What speaks for and against the worker beside its room.
  static double FitnessOf(const worker_entry& worker,
                          const placement_request& request);

  const scheduler_settings& settings_;
  worker_table& workers_;
  const interference& learned_;
  trial_counter trials_;
};

/// What a run of the step reserves on its worker.
coordination::resources ReservedBy(const step_request& step);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_
