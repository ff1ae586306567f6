#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_SHARD_CORE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_SHARD_CORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/scheduler_event.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "chivecrank/submissions/worker_sizes.h"
#include "internal/crash_attribution.h"
#include "internal/drain_tracker.h"
#include "internal/interference_model.h"
#include "internal/permit_tracker.h"
#include "internal/planner.h"
#include "internal/report_processor.h"
#include "internal/run_tracker.h"
#include "internal/worker_recorder.h"

namespace chivecrank::submissions::internal {

/// Components of a shard's scheduler, and operations that need several of them.
struct shard_core {
  shard_core(const scheduler_settings& initial_settings,
             scheduler_event_hook hook)
      : settings(initial_settings),
        on_event(std::move(hook)),
        tracker(settings, on_event),
        crashes(settings, tracker.Workers()),
        drains(settings, tracker.Workers()),
        reports(settings, tracker, interference, crashes),
        run_planner(settings, tracker, interference, permits, drains),
        recorder(settings, tracker.Workers()) {}

  /// Prefers other workers until `term` has passed.
  static void AvoidFor(worker_entry& worker,
                       std::chrono::milliseconds term,
                       base::time_point now);
  /// Marks the runs of workers with expired leases as lost.
  void ExpireLeases(base::time_point now);
  /// Marks the runs of a worker that has ended as lost, but for those begun
  /// since `known_at`: they may be runs of a later incarnation.
  void MarkEnded(worker_entry& worker,
                 base::time_point known_at,
                 base::time_point now);
  /// Allows run ends that were recorded in this batch or an earlier one to be
  /// acknowledged.
  void ReleaseAcks(std::uint64_t batch);
  /// Whether a committed assignment is still valid; reverts it otherwise.
  bool ConfirmStart(start_command& command, base::time_point now);
  /// Adds the commands that bring best-effort tasks to their target speed.
  void CollectThrottles(command_set& commands);
  /// Returns null if the worker has no such run.
  active_run* FindRun(const std::string& worker_id,
                      const task_ref& task,
                      std::int32_t run);

  const scheduler_settings settings;
  const scheduler_event_hook on_event;
  run_tracker tracker;
  interference_model interference;
  permit_tracker permits;
  crash_attribution crashes;
  drain_tracker drains;
  report_processor reports;
  planner run_planner;
  worker_recorder recorder;
  worker_sizes sizes;
  std::uint64_t last_batch = 0;
  std::vector<start_command> starts_in_commit;
  std::vector<outcome_change> outcomes_in_commit;
  std::vector<start_command> committed_starts;

 private:
  /// The committed runs that `is_lost` selects.
  static std::vector<task_ref> LostRuns(
      const worker_entry& worker,
      const std::function<bool(const active_run&)>& is_lost);
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_SHARD_CORE_H_
