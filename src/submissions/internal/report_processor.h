#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_REPORT_PROCESSOR_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_REPORT_PROCESSOR_H_

#include <cstdint>

#include "chivecrank/submissions/types.h"
#include "internal/latency_guard.h"
#include "internal/run_book.h"

namespace chivecrank::submissions::internal {

/// Brings the book of runs in line with what a worker lists.
class report_processor {
 public:
  report_processor(const scheduler_settings& settings,
                   run_book& book,
                   interference& learned)
      : settings_(settings),
        book_(book),
        learned_(learned),
        guard_(settings, learned) {}

  /// Takes in a report. Its ends may be acknowledged once `next_batch` is
  /// committed.
  void Process(worker_entry& worker,
               const worker_report& report,
               base::time_point requested_at,
               base::time_point now,
               std::uint64_t next_batch);

 private:
  void NoticeRestart(worker_entry& worker, const worker_report& report);
  /// Whether the task was assigned in a life of the worker that is over.
  bool IsOfEarlierLife(const worker_entry& worker, const task_ref& task);
  void TakeEnds(worker_entry& worker,
                const worker_report& report,
                base::time_point now,
                std::uint64_t next_batch);
  void TakeRunning(worker_entry& worker,
                   const reported_run& listed,
                   base::time_point now);
  void ConfirmRunning(worker_entry& worker,
                      active_run& run,
                      const reported_run& listed,
                      base::time_point now);
  /// Notes whether a run makes progress.
  void NoteProgress(const reported_run& listed,
                    active_run& run,
                    base::time_point now);
  void StopStray(worker_entry& worker, const reported_run& listed);
  void TakeAbsent(worker_entry& worker,
                  const worker_report& report,
                  base::time_point requested_at,
                  base::time_point now);
  void SettleAbsent(worker_entry& worker,
                    const task_ref& task,
                    base::time_point now);

  const scheduler_settings& settings_;
  run_book& book_;
  interference& learned_;
  latency_guard guard_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_REPORT_PROCESSOR_H_
