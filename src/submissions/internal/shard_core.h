#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_SHARD_CORE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_SHARD_CORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/scheduler_event.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/interference.h"
#include "internal/permit_book.h"
#include "internal/planner.h"
#include "internal/report_processor.h"
#include "internal/run_book.h"

namespace chivecrank::submissions::internal {

/// The parts of a shard's scheduler, and what takes several of them.
struct shard_core {
  shard_core(const scheduler_settings& given, scheduler_event_hook hook)
      : settings(given),
        on_event(std::move(hook)),
        book(settings, on_event),
        reports(settings, book, learned),
        plans(settings, book, learned, permits) {}

  /// Lets other workers go first until `term` has passed.
  static void Pause(worker_entry& worker,
                    std::chrono::milliseconds term,
                    base::time_point now);
  /// Gives up the runs of workers whose leases are over.
  void ExpireLeases(base::time_point now);
  /// Ends that the batch or one before it recorded may be acknowledged.
  void ReleaseAcks(std::uint64_t batch);
  /// Whether a committed decision to start still holds; otherwise it is
  /// taken back.
  bool Confirm(start_command& command, base::time_point now);
  /// Adds the orders that bring filling tasks to the speed that is wanted.
  void CollectThrottles(command_set& commands);
  /// Null when the worker has no such run.
  active_run* FindRun(const std::string& worker_id,
                      const task_ref& task,
                      std::int32_t run);

  const scheduler_settings settings;
  const scheduler_event_hook on_event;
  run_book book;
  interference learned;
  permit_book permits;
  report_processor reports;
  planner plans;
  std::uint64_t last_batch = 0;
  std::vector<start_command> in_commit;
  std::vector<outcome_change> outcomes_in_commit;
  std::vector<start_command> committed;
  bool fenced = false;

 private:
  void LoseAll(worker_entry& worker);
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_SHARD_CORE_H_
