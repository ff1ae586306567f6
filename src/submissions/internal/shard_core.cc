#include "internal/shard_core.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::submissions::internal {

void shard_core::AvoidFor(worker_entry& worker,
                          std::chrono::milliseconds term,
                          base::time_point now) {
  worker.health.avoid_until = std::max(worker.health.avoid_until, now + term);
}

void shard_core::ExpireLeases(base::time_point now) {
  for (auto& [id, worker] : tracker.Workers().All()) {
    if (worker.runs.empty() || now < worker.lease.Expiry())
      continue;
    tracker.Emit({.kind = scheduler_event_kind::kWorkerLeaseExpired,
                  .worker = id,
                  .outcome = LeaseBasisName(worker.lease.Basis()),
                  .input = static_cast<std::int64_t>(worker.runs.size())});
    worker.reported = false;
    const auto lost = LostRuns(worker, [](const active_run&) { return true; });
    for (const task_ref& task : lost)
      tracker.MarkLost(worker, task, "lease_over");
  }
}

void shard_core::MarkEnded(worker_entry& worker,
                           base::time_point known_at,
                           base::time_point now) {
  worker.reported = false;
  crashes.Examine(worker, now);
  const auto lost = LostRuns(worker, [known_at](const active_run& run) {
    return run.phase_since < known_at;
  });
  for (const task_ref& task : lost)
    tracker.MarkCrashed(worker, task, "worker_replaced", now);
}

std::vector<task_ref> shard_core::LostRuns(
    const worker_entry& worker,
    const std::function<bool(const active_run&)>& is_lost) {
  std::vector<task_ref> lost;
  for (const auto& [task, run] : worker.runs)
    if (run.phase != run_phase::kUncommitted && is_lost(run))
      lost.push_back(task);
  return lost;
}

void shard_core::ReleaseAcks(std::uint64_t batch) {
  for (auto& [id, worker] : tracker.Workers().All()) {
    auto& pending = worker.pending_acks;
    while (!pending.empty() && pending.front().batch <= batch) {
      worker.committed_end = pending.front().number;
      pending.pop_front();
    }
  }
}

bool shard_core::ConfirmStart(start_command& command, base::time_point now) {
  worker_entry* worker = tracker.Workers().Find(command.worker);
  if (worker == nullptr)
    return false;
  const auto found = worker->runs.find(command.task);
  if (found == worker->runs.end() || found->second.run != command.run ||
      found->second.phase != run_phase::kUncommitted)
    return false;
  const live_submission* live =
      tracker.Submissions().Find(command.task.submission);
  bool is_valid =
      live != nullptr && !live->outcome && worker->IsOpen() &&
      worker->Answers() && worker_recorder::MayStart(*worker) &&
      scheduling::IsWithin(worker->reserved, worker->description.capacity);
  if (is_valid && run_planner.NeedsPermit(*live)) {
    const std::string* permit = permits.Find(command.task, *worker, now);
    is_valid = permit != nullptr;
    if (is_valid)
      command.permit = *permit;
  }
  if (!is_valid) {
    tracker.Revert(*worker, command.task);
    return false;
  }
  found->second.phase = run_phase::kStarting;
  found->second.phase_since = now;
  return true;
}

void shard_core::CollectThrottles(command_set& commands) {
  for (auto& [id, worker] : tracker.Workers().All()) {
    if (!worker.may_have_throttled)
      continue;
    for (auto& [task, run] : worker.runs) {
      if (!run.best_effort || run.phase != run_phase::kRunning ||
          run.throttle_percent == run.target_percent)
        continue;
      run.throttle_percent = run.target_percent;
      worker.cached_occupancy.reset();
      commands.throttles.push_back({task, run.run, id, run.throttle_percent});
      tracker.Emit({.kind = scheduler_event_kind::kBestEffortThrottled,
                    .task = task,
                    .worker = id,
                    .run = run.run,
                    .outcome = tracker.Images().NameOf(run.image),
                    .input = run.throttle_percent});
    }
  }
}

active_run* shard_core::FindRun(const std::string& worker_id,
                                const task_ref& task,
                                std::int32_t run) {
  worker_entry* worker = tracker.Workers().Find(worker_id);
  if (worker == nullptr)
    return nullptr;
  const auto found = worker->runs.find(task);
  if (found == worker->runs.end() || found->second.run != run)
    return nullptr;
  return &found->second;
}

}  // namespace chivecrank::submissions::internal
