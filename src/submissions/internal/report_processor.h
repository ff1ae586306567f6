#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_REPORT_PROCESSOR_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_REPORT_PROCESSOR_H_

#include <cstdint>

#include "chivecrank/submissions/types.h"
#include "internal/crash_attribution.h"
#include "internal/latency_guard.h"
#include "internal/run_tracker.h"

namespace chivecrank::submissions::internal {

/// Updates the run tracker from a worker's reports.
class report_processor {
 public:
  report_processor(const scheduler_settings& settings,
                   run_tracker& tracker,
                   interference_model& interference,
                   crash_attribution& crashes)
      : settings_(settings),
        tracker_(tracker),
        interference_(interference),
        crashes_(crashes),
        guard_(settings, interference) {}

  /// Processes a report. Its ends may be acknowledged once `next_batch` is
  /// committed.
  void Process(worker_entry& worker,
               const worker_report& report,
               base::time_point requested_at,
               base::time_point now,
               std::uint64_t next_batch);

 private:
  static void MarkForPlanning(worker_entry& worker);
  void HandleRestart(worker_entry& worker,
                     const worker_report& report,
                     base::time_point now);
  /// Whether runs on the worker were assigned to an earlier incarnation.
  bool HasRunsOfEarlierIncarnation(const worker_entry& worker);
  /// Whether the task was assigned to an earlier incarnation of the worker.
  bool IsOfEarlierIncarnation(const worker_entry& worker, const task_ref& task);
  void ProcessEnds(worker_entry& worker,
                   const worker_report& report,
                   base::time_point now,
                   std::uint64_t next_batch);
  void ProcessRunning(worker_entry& worker,
                      const reported_run& reported,
                      base::time_point now);
  void ConfirmRunning(worker_entry& worker,
                      active_run& run,
                      const reported_run& reported,
                      base::time_point now);
  /// Updates the run's progress and whether it has stalled.
  /// An earlier owner may have throttled a run, and the journal doesn't say so.
  /// Marks the speed of a run as unknown that is slower than it should be, so
  /// that it is commanded again.
  void CheckFoundSpeed(worker_entry& worker,
                       active_run& run,
                       const reported_run& reported,
                       base::time_point now);
  void UpdateProgress(const reported_run& reported,
                      active_run& run,
                      base::time_point now);
  void StopUnknownRun(worker_entry& worker, const reported_run& reported);
  void ProcessAbsent(worker_entry& worker,
                     const worker_report& report,
                     base::time_point requested_at,
                     base::time_point now);
  void ResolveAbsent(worker_entry& worker,
                     const task_ref& task,
                     base::time_point now);

  const scheduler_settings& settings_;
  run_tracker& tracker_;
  interference_model& interference_;
  crash_attribution& crashes_;
  latency_guard guard_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_REPORT_PROCESSOR_H_
