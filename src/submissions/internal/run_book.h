#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_BOOK_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_BOOK_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/scheduler_event.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/run_times.h"
#include "internal/submission_table.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// The life of runs: assigns tasks to workers and follows each run until its
/// end is known. Keeps submissions, workers and the pending orders consistent.
class run_book {
 public:
  run_book(const scheduler_settings& settings,
           const scheduler_event_hook& on_event)
      : settings_(settings), on_event_(on_event) {}

  submission_table& Submissions() { return submissions_; }
  const submission_table& Submissions() const { return submissions_; }
  worker_table& Workers() { return workers_; }
  const worker_table& Workers() const { return workers_; }
  image_index& Images() { return images_; }
  const image_index& Images() const { return images_; }

  const run_times& RunTimes() const { return run_times_; }
  /// The run time to expect of a task that exists.
  std::chrono::duration<double, std::milli> ExpectedTime(const task_ref& task);

  /// The time of day, for the age of submissions.
  void SetTimeOfDay(std::chrono::milliseconds since_epoch) {
    since_epoch_ = since_epoch;
  }

  /// Decides run `run` of a waiting task on a worker.
  void Assign(const task_ref& task,
              std::int32_t run,
              worker_entry& worker,
              base::time_point now);
  /// A worker has told of a run of the task.
  void NoteBegun(const task_ref& task);
  /// Brings back a run that the journal knows.
  void Readopt(const task_ref& task, base::time_point now);

  /// The run never began, or is gone without an end of its own.
  void Revert(worker_entry& worker, const task_ref& task);
  /// The worker lost the run: a crash or a lease that ran out.
  void Lose(worker_entry& worker,
            const task_ref& task,
            std::string_view reason);
  /// The worker listed the end of a run.
  void End(worker_entry& worker, const reported_end& end, base::time_point now);

  /// Lets other workers go first for a while.
  void Avoid(worker_entry& worker,
             std::string_view reason,
             std::int64_t count,
             base::time_point now);
  /// Ends a submission and stops what still runs of it.
  void Finish(live_submission& live,
              submission_outcome outcome,
              base::time_point now);
  /// Orders a run to stop.
  void Stop(worker_entry& worker,
            const task_ref& task,
            active_run& run,
            base::time_point now);
  void AddStop(stop_command command) { stops_.push_back(std::move(command)); }
  std::vector<stop_command> TakeStops() { return std::exchange(stops_, {}); }

  /// Decisions to start that were not committed yet.
  std::vector<start_command> TakeDecided() {
    return std::exchange(decided_, {});
  }
  std::vector<outcome_change> TakeOutcomes() {
    return std::exchange(outcomes_, {});
  }
  bool HasChanges() const {
    return !outcomes_.empty() || submissions_.HasTouched();
  }
  /// Forgets an ended submission when nothing of it runs.
  void EraseIfOver(const std::string& submission);

  void Emit(const scheduler_event& event) const;

 private:
  active_run RunFor(const task_ref& task,
                    std::int32_t number,
                    base::time_point now);
  void RemoveRun(worker_entry& worker, const task_ref& task);
  /// The belief that the runs of the task's step share.
  std::shared_ptr<service_load> LoadOf(const task_ref& task,
                                       base::time_point now);
  /// Learns from a run that ended as done how long such runs take.
  void LearnRunTime(const task_ref& task,
                    const active_run& run,
                    base::time_point now);
  void CountFailure(worker_entry& worker,
                    const reported_end& end,
                    task_progress& progress,
                    base::time_point now);
  void NoteHealth(worker_entry& worker,
                  const reported_end& end,
                  base::time_point now);
  void FinishIfDone(const std::string& submission, base::time_point now);
  void ReleaseGang(const task_ref& task);
  void Touch(const live_submission& live, const task_ref& task);

  const scheduler_settings& settings_;
  const scheduler_event_hook& on_event_;
  submission_table submissions_;
  worker_table workers_;
  image_index images_;
  run_times run_times_;
  std::chrono::milliseconds since_epoch_{0};
  std::vector<stop_command> stops_;
  std::vector<start_command> decided_;
  std::vector<outcome_change> outcomes_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_BOOK_H_
