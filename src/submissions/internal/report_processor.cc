#include "internal/report_processor.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <vector>

namespace chivecrank::submissions::internal {
namespace {

constexpr double kWholePercent = 100;
/// How long a run of an earlier owner is watched until its speed is known, and
/// the share of its expected speed below which it counts as throttled.
constexpr std::chrono::milliseconds kFoundSpeedTime{600};
constexpr double kFullSpeedShare = 0.7;

bool IsReported(const worker_report& report,
                const task_ref& task,
                std::int32_t run) {
  return std::ranges::any_of(report.running, [&](const reported_run& reported) {
    return reported.task == task && reported.run == run;
  });
}

}  // namespace

void report_processor::Process(worker_entry& worker,
                               const worker_report& report,
                               base::time_point requested_at,
                               base::time_point now,
                               std::uint64_t next_batch) {
  HandleRestart(worker, report, now);
  worker.silent_since.reset();
  worker.reported = true;
  worker.reported_at = now;
  worker.lacks_capacity = false;
  // The worker follows this owner's fence and takes no lease of an earlier one.
  worker.lease.Restrict(now + settings_.LongestLease(), lease_basis::kAnswer);
  ProcessEnds(worker, report, now, next_batch);
  for (const reported_run& reported : report.running)
    ProcessRunning(worker, reported, now);
  if (!report.ends_truncated)
    ProcessAbsent(worker, report, requested_at, now);
  interference_.Observe(worker, now);
  guard_.Update(worker, now);
  MarkForPlanning(worker);
  worker.cached_occupancy.reset();
}

void report_processor::MarkForPlanning(worker_entry& worker) {
  worker.may_have_stalled = std::ranges::any_of(
      worker.runs, [](const auto& entry) { return entry.second.stalled; });
  worker.may_have_throttled =
      std::ranges::any_of(worker.runs, [](const auto& entry) {
        const active_run& run = entry.second;
        return run.target_percent != active_run::kFullSpeed ||
               run.throttle_percent != run.target_percent;
      });
}

void report_processor::HandleRestart(worker_entry& worker,
                                     const worker_report& report,
                                     base::time_point now) {
  if (worker.reported_started_at_ms == report.started_at_ms)
    return crashes_.OnAnswered(worker);
  const bool known_before = worker.reported_started_at_ms != 0;
  worker.reported_started_at_ms = report.started_at_ms;
  worker.processed_end = 0;
  worker.committed_end = 0;
  worker.pending_acks.clear();
  worker.health = {};
  worker.latency = {};
  if (known_before || HasRunsOfEarlierIncarnation(worker))
    crashes_.Examine(worker, now);
  // A start command of this owner may have reached the new incarnation. Its
  // reports will show whether it did, as for any other run.
  std::vector<task_ref> lost;
  for (const auto& [task, run] : worker.runs)
    if (!run.started_by_this_owner && !IsReported(report, task, run.run) &&
        IsOfEarlierIncarnation(worker, task))
      lost.push_back(task);
  for (const task_ref& task : lost)
    tracker_.MarkCrashed(worker, task, "worker_restarted", now);
  if (known_before)
    tracker_.Emit({.kind = scheduler_event_kind::kWorkerRestarted,
                   .worker = worker.description.id,
                   .input = report.started_at_ms});
}

bool report_processor::HasRunsOfEarlierIncarnation(const worker_entry& worker) {
  return std::ranges::any_of(worker.runs, [&](const auto& entry) {
    return IsOfEarlierIncarnation(worker, entry.first);
  });
}

bool report_processor::IsOfEarlierIncarnation(const worker_entry& worker,
                                              const task_ref& task) {
  const task_progress* progress = tracker_.Submissions().Find(task);
  return progress == nullptr ||
         progress->worker_started_at_ms != worker.reported_started_at_ms;
}

void report_processor::ProcessEnds(worker_entry& worker,
                                   const worker_report& report,
                                   base::time_point now,
                                   std::uint64_t next_batch) {
  for (const reported_end& end : report.ended) {
    if (end.number <= worker.processed_end)
      continue;
    worker.processed_end = end.number;
    tracker_.HandleEnd(worker, end, now);
    worker.pending_acks.push_back({end.number, next_batch});
  }
}

void report_processor::ProcessRunning(worker_entry& worker,
                                      const reported_run& reported,
                                      base::time_point now) {
  const auto found = worker.runs.find(reported.task);
  if (found == worker.runs.end() || found->second.run != reported.run)
    return StopUnknownRun(worker, reported);
  ConfirmRunning(worker, found->second, reported, now);
}

void report_processor::ConfirmRunning(worker_entry& worker,
                                      active_run& run,
                                      const reported_run& reported,
                                      base::time_point now) {
  run.start_confirmed = true;
  if (!reported.checkpoint.empty())
    run.checkpoint = reported.checkpoint;
  UpdateProgress(reported, run, now);
  run.measurement = reported.measurement;
  if (!run.survived_start && crashes_.HasSurvivedStart(run, now))
    tracker_.MarkSurvived(worker, reported.task, run);
  if (run.phase == run_phase::kStopping) {
    if (now - run.stop_sent_at >= settings_.stop_interval)
      tracker_.Stop(worker, reported.task, run, now);
    return;
  }
  CheckFoundSpeed(worker, run, reported, now);
  if (run.phase == run_phase::kRunning) {
    if (run.long_running)
      tracker_.CheckTest(worker, reported.task, run, now);
    return;
  }
  tracker_.MarkReported(reported.task);
  run.phase = run_phase::kRunning;
  run.phase_since = now;
}

void report_processor::CheckFoundSpeed(worker_entry& worker,
                                       active_run& run,
                                       const reported_run& reported,
                                       base::time_point now) {
  if (run.started_by_this_owner || !run.best_effort || run.found_speed_known)
    return;
  if (!run.found_at) {
    run.found_at = now;
    run.found_percent = reported.percent;
    return;
  }
  const base::duration passed = now - *run.found_at;
  if (passed < kFoundSpeedTime)
    return;
  run.found_speed_known = true;
  const auto done = tracker_.ExpectedTime(reported.task) *
                    (reported.percent - run.found_percent) / kWholePercent;
  if (done >= passed * kFullSpeedShare)
    return;
  run.throttle_percent = active_run::kThrottleUnknown;
  worker.may_have_throttled = true;
  worker.cached_occupancy.reset();
}

void report_processor::UpdateProgress(const reported_run& reported,
                                      active_run& run,
                                      base::time_point now) {
  const bool progressed = reported.percent != run.percent;
  const bool can_progress = run.phase == run_phase::kRunning &&
                            !run.long_running &&
                            run.throttle_percent == active_run::kFullSpeed &&
                            run.target_percent == active_run::kFullSpeed;
  run.percent = reported.percent;
  if (progressed || !can_progress) {
    run.progressed_at = now;
    run.stalled = false;
    return;
  }
  const step_request* step = tracker_.Submissions().StepOf(reported.task);
  // A gang makes progress only when all members are running.
  if (step == nullptr || step->gang)
    return;
  const base::duration idle =
      now - std::max(run.progressed_at, run.phase_since);
  run.stalled =
      idle >= settings_.stalled_after &&
      idle >= tracker_.ExpectedTime(reported.task) * settings_.stalled_share;
}

void report_processor::StopUnknownRun(worker_entry& worker,
                                      const reported_run& reported) {
  worker.lacks_capacity = true;
  tracker_.AddStop({reported.task, reported.run, worker.description.id});
  tracker_.Emit({.kind = scheduler_event_kind::kUnknownRunStopped,
                 .task = reported.task,
                 .worker = worker.description.id,
                 .run = reported.run});
}

void report_processor::ProcessAbsent(worker_entry& worker,
                                     const worker_report& report,
                                     base::time_point requested_at,
                                     base::time_point now) {
  absl::flat_hash_set<task_ref> running;
  for (const reported_run& reported : report.running)
    running.insert(reported.task);
  std::vector<task_ref> absent;
  for (const auto& [task, run] : worker.runs) {
    const bool may_be_reported = run.phase == run_phase::kRunning ||
                                 run.phase == run_phase::kUncertain ||
                                 run.phase == run_phase::kStopping;
    if (may_be_reported && run.phase_since < requested_at &&
        !running.contains(task))
      absent.push_back(task);
  }
  for (const task_ref& task : absent)
    ResolveAbsent(worker, task, now);
}

void report_processor::ResolveAbsent(worker_entry& worker,
                                     const task_ref& task,
                                     base::time_point now) {
  active_run& run = worker.runs.at(task);
  // A start command of an earlier owner can't arrive any more, because the
  // worker follows this owner. Neither can one after the worker confirmed a
  // stop.
  const bool may_still_start = run.started_by_this_owner &&
                               !run.stop_confirmed &&
                               run.phase != run_phase::kRunning;
  if (!may_still_start && IsOfEarlierIncarnation(worker, task))
    return tracker_.MarkCrashed(worker, task, "worker_restarted", now);
  if (!may_still_start)
    return tracker_.MarkLost(worker, task, "not_listed");
  if (now - run.stop_sent_at < settings_.stop_interval)
    return;
  run.stop_sent_at = now;
  tracker_.AddStop({task, run.run, worker.description.id});
}

}  // namespace chivecrank::submissions::internal
