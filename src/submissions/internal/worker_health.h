#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_HEALTH_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_HEALTH_H_

#include <string>

#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What worker_health must know of a task that looks for a worker.
struct start_candidate {
  /// Number of its runs that failed.
  std::int32_t failures = 0;
  /// It may be tried on a worker that is likely to fail it: it ends, runs by
  /// itself, and has another attempt left.
  bool can_test_worker = false;
  /// It may be too bound to be choosy.
  bool is_bound = false;
  /// For too long no worker with a good record has taken it.
  bool has_waited = false;
  /// It lasts, so that a failure uses up no attempt.
  bool has_spare_attempts = false;
};

/// Judges workers by the ends of their runs. The load it answers: workers that
/// fail what they start are always free, and draw in tasks that use up their
/// attempts there.
class worker_health {
 public:
  enum class change { kNone, kOnProbation, kTrusted };

  worker_health(const scheduler_settings& settings, worker_table& workers)
      : settings_(settings), workers_(workers) {}

  /// Counts the workers on probation and the proven ones, and forgets tests
  /// whose runs are gone.
  void BeginRound(base::time_point now);

  /// A run that began at `begun_at` ended as done.
  static change OnDone(worker_entry& worker, base::time_point begun_at);
  /// A run of `task` that began at `begun_at` failed.
  change OnFailed(worker_entry& worker,
                  const task_ref& task,
                  base::time_point begun_at,
                  base::time_point now) const;

  /// Whether the worker's record allows the start.
  bool Allows(const worker_entry& worker,
              const start_candidate& candidate,
              base::time_point now) const;
  /// Whether the record of some worker may rule out a start.
  bool MayRuleOut(bool is_retry) const {
    return (any_on_probation_ && leaves_alone_) ||
           (is_retry && retries_choose_);
  }
  /// A start of the task was decided.
  static void OnAssign(worker_entry& worker, const task_ref& task);

  /// A report shows the run of a long-running task at work. Such a run proves
  /// the worker that it tests by staying alive, since it doesn't end.
  change OnAlive(worker_entry& worker,
                 const task_ref& task,
                 base::time_point running_since,
                 base::time_point now) const;

  /// Whether nearly all newest ends of the worker's runs are done.
  static bool IsProven(const worker_entry& worker);

 private:
  /// When a task that has waited may test the worker.
  base::time_point TestDueAfterWait(const health_state& health,
                                    const start_candidate& candidate) const;

  const scheduler_settings& settings_;
  worker_table& workers_;
  bool any_on_probation_ = false;
  /// Few enough workers are on probation to leave them alone.
  bool leaves_alone_ = true;
  /// Enough workers are proven for retries to be choosy.
  bool retries_choose_ = false;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_HEALTH_H_
