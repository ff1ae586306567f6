#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_CRASH_ATTRIBUTION_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Tells the tasks that crash their workers from those that were lost beside
/// them. A run counts as a possible cause of a crash until its worker was seen
/// alive for a while after the start. The possible causes share the blame,
/// which is less, or none, if other workers fell silent meanwhile for no cause
/// of this kind. See docs/design/crashing-tasks.md.
class crash_attribution {
 public:
  crash_attribution(const scheduler_settings& settings,
                    const worker_table& workers)
      : settings_(settings), workers_(workers) {}

  /// Must be called when the owner has restored the shard.
  void Begin(base::time_point now) { begun_at_ = now; }
  /// Handles that a worker left a poll unanswered and sets `silent_since`, if
  /// that isn't set yet. Returns whether it is news that it may have crashed.
  bool OnSilent(worker_entry& worker, base::time_point now);
  /// Handles an answer of the incarnation that was silent.
  void OnAnswered(const worker_entry& worker);
  /// Records in `worker.crash` what its crash says about its runs.
  void Examine(worker_entry& worker, base::time_point now);
  /// Adds a crash of the run's worker to the progress of its task, if the run
  /// is a possible cause. Returns whether it is.
  static bool Count(const worker_entry& worker,
                    const active_run& run,
                    task_progress& progress);

  /// Whether the task must be started apart from others, to find out whether it
  /// crashes its worker.
  static bool IsSuspect(const task_progress& progress);
  /// Whether the task is to be given up, since it crashes its workers.
  static bool CrashesWorkers(const task_progress& progress);

  /// Whether the run has lived long enough to be no cause of a later crash.
  bool HasSurvivedStart(const active_run& run, base::time_point now) const;
  /// Whether a crash of its worker could be the run's doing, and the run is
  /// known to have started just before.
  static bool HasJustStarted(const active_run& run);

 private:
  struct silence {
    std::string worker;
    base::time_point since;
    /// A run that had just started may have crashed the worker.
    bool has_possible_cause = false;
    /// A task under suspicion had just started on it.
    bool has_trial = false;
  };

  /// Whether nobody can tell when the run started: its owner ended before the
  /// crash was seen.
  static bool HasUnknownStart(const active_run& run);
  crash_setting SettingOf(const worker_entry& worker,
                          base::time_point now) const;
  /// Whether too little is known of the time around the silence to say that no
  /// other worker fell silent.
  bool IsTooEarlyToTell(base::time_point silent_since,
                        base::time_point now) const;
  bool IsMany(std::size_t silent_workers) const;

  const scheduler_settings& settings_;
  const worker_table& workers_;
  base::time_point begun_at_;
  std::vector<silence> silences_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_CRASH_ATTRIBUTION_H_
