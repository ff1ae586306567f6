#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/interference.h"
#include "internal/permit_book.h"
#include "internal/trial_counter.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What a choice of worker is made for.
struct placement_request {
  const step_request* step = nullptr;
  const task_progress* progress = nullptr;
  const std::string* service = nullptr;
  image_number image = 0;
  task_ref task;
  /// Where it runs now and is to leave; null when it runs nowhere.
  const worker_entry* runs_on = nullptr;
  /// Only workers of this rack; empty for any.
  std::string rack;
  /// Set when the task needs a permit for its worker.
  const permit_book* permits = nullptr;
  base::time_point now;
};

/// Says which workers can take a run, and how good each is for it.
class placer {
 public:
  placer(const scheduler_settings& settings,
         worker_table& workers,
         interference& learned)
      : settings_(settings),
        workers_(workers),
        learned_(learned),
        trials_(learned) {}

  /// Takes stock of the runs; call it before a round of choices.
  void BeginRound(base::time_point now);
  /// The task of `request` is about to be assigned to the worker.
  void OnAssign(worker_entry& worker, const placement_request& request);
  worker_table& Workers() const { return workers_; }
  /// Keeps other work off the worker that is nearest to having room for a
  /// service's task, until the round ends.
  void HoldRoomFor(const placement_request& request);

  /// Workers that were scored so far, which is what placing costs.
  std::uint64_t Scored() const { return scored_; }

  /// Runs of the task's step on the worker.
  static std::int32_t RunsOfStep(const worker_entry& worker,
                                 const task_ref& task);

  /// How good the worker is for the task; nothing when it can't take it.
  std::optional<double> ScoreOf(worker_entry& worker,
                                const placement_request& request) const;

 private:
  /// Whether the worker can take the task as far as reservations and bindings
  /// go.
  bool HasRoom(const worker_entry& worker,
               const placement_request& request) const;
  /// Whether the worker could take the task, but for what runs there.
  bool IsEligible(const worker_entry& worker,
                  const placement_request& request) const;
  /// How good the worker is for a filling task; nothing when it would find too
  /// little idle or disturb too much there.
  std::optional<double> FillingScore(worker_entry& worker,
                                     const placement_request& request) const;
  /// What speaks for and against the worker beside its room.
  double FitnessOf(worker_entry& worker,
                   const placement_request& request) const;

  const scheduler_settings& settings_;
  worker_table& workers_;
  interference& learned_;
  trial_counter trials_;
  mutable std::uint64_t scored_ = 0;
};

/// What a run of the step reserves on its worker.
coordination::resources ReservedBy(const step_request& step);

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PLACER_H_
