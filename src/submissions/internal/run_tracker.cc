#include "internal/run_tracker.h"

#include <algorithm>
#include <utility>

#include "internal/crash_attribution.h"
#include "internal/placer.h"

namespace chivecrank::submissions::internal {
namespace {

/// Delay from the end of a run until the worker's report of it arrives.
constexpr std::chrono::milliseconds kReportDelay{40};
constexpr std::int64_t kUnknownAge = -1;

/// Milliseconds from when the run's phase began until the worker left a poll
/// unanswered; kUnknownAge if either time is not known to this owner.
std::int64_t AgeAtSilence(const worker_entry& worker, const active_run& run) {
  if (!run.started_by_this_owner || !worker.silent_since)
    return kUnknownAge;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             *worker.silent_since - run.phase_since)
      .count();
}

}  // namespace

active_run run_tracker::MakeRun(const task_ref& task,
                                std::int32_t number,
                                base::time_point now) {
  const step_request& step = *submissions_.StepOf(task);
  active_run run;
  run.run = number;
  run.reserved = ReservedBy(step);
  run.processors_milli = step.demand.processors_milli;
  run.best_effort = step.best_effort;
  run.long_running = step.long_running;
  run.latency_target = step.latency_target;
  run.image = images_.NumberOf(step.image);
  run.begun_at = now;
  run.phase_since = now;
  if (step.latency_target.count() > 0)
    run.load = LoadOf(task, now);
  return run;
}

std::shared_ptr<service_load> run_tracker::LoadOf(const task_ref& task,
                                                  base::time_point now) {
  auto& load = submissions_.LiveStepOf(task).load;
  if (!load)
    load = std::make_shared<service_load>(now);
  return load;
}

void run_tracker::Assign(const task_ref& task,
                         std::int32_t run,
                         worker_entry& worker,
                         base::time_point now) {
  live_submission& live = *submissions_.Find(task.submission);
  task_progress& progress = *submissions_.Find(task);
  progress.phase = task_phase::kAssigned;
  progress.run = run;
  progress.worker = worker.description.id;
  progress.worker_started_at_ms = worker.reported_started_at_ms;
  submissions_.MarkChanged(task);
  active_run made = MakeRun(task, run, now);
  made.started_by_this_owner = true;
  made.on_trial = crash_attribution::IsSuspect(progress);
  made.checkpoint = progress.checkpoint;
  made.is_run_time_sample = progress.checkpoint.empty();
  worker_table::AddRun(worker, task, made);
  live.any_task_assigned = true;
  ++live.active_runs;
  uncommitted_starts_.push_back({task, run, worker.description.id,
                                 live.request.spec, progress.checkpoint});
  Emit({.kind = scheduler_event_kind::kTaskAssigned,
        .task = task,
        .worker = worker.description.id,
        .run = run,
        .outcome = "assigned",
        .input = progress.failures});
}

void run_tracker::MarkReported(const task_ref& task) {
  if (live_submission* live = submissions_.Find(task.submission))
    live->run_reported = true;
}

void run_tracker::RestoreRun(const task_ref& task, base::time_point now) {
  const task_progress& progress = *submissions_.Find(task);
  worker_entry& worker = workers_.FindOrAdd(progress.worker);
  worker.description.id = progress.worker;
  active_run run = MakeRun(task, progress.run, now);
  run.phase = run_phase::kUncertain;
  run.checkpoint = progress.checkpoint;
  run.on_trial = crash_attribution::IsSuspect(progress);
  run.doubted = progress.doubted_run == progress.run;
  run.start_confirmed = run.doubted && progress.doubted_run_confirmed;
  worker_table::AddRun(worker, task, run);
  live_submission& live = *submissions_.Find(task.submission);
  live.any_task_assigned = true;
  ++live.active_runs;
}

void run_tracker::Revert(worker_entry& worker, const task_ref& task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  const active_run run = found->second;
  RemoveRun(worker, task);
  task_progress* progress = submissions_.Find(task);
  if (progress == nullptr || progress->phase != task_phase::kAssigned ||
      progress->run != run.run)
    return EraseIfFinished(task.submission);
  progress->phase = task_phase::kWaiting;
  progress->doubted_run = 0;
  progress->doubted_run_confirmed = false;
  if (!run.checkpoint.empty())
    progress->checkpoint = run.checkpoint;
  MarkChanged(*submissions_.Find(task.submission), task);
  EraseIfFinished(task.submission);
}

void run_tracker::MarkLost(worker_entry& worker,
                           const task_ref& task,
                           std::string_view reason) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  Emit({.kind = scheduler_event_kind::kRunLost,
        .task = task,
        .worker = worker.description.id,
        .run = found->second.run,
        .outcome = reason,
        .input = AgeAtSilence(worker, found->second)});
  Revert(worker, task);
}

void run_tracker::MarkCrashed(worker_entry& worker,
                              const task_ref& task,
                              std::string_view reason,
                              base::time_point now) {
  const auto found = worker.runs.find(task);
  task_progress* progress = submissions_.Find(task);
  if (found == worker.runs.end() || progress == nullptr ||
      progress->run != found->second.run ||
      !crash_attribution::Count(worker, found->second, *progress))
    return MarkLost(worker, task, reason);
  Emit({.kind = scheduler_event_kind::kTaskSuspected,
        .task = task,
        .worker = worker.description.id,
        .run = progress->run,
        .outcome = CrashSettingName(worker.crash.setting),
        .input = progress->crash_blame_permille});
  const bool is_given_up = crash_attribution::CrashesWorkers(*progress);
  const std::int32_t crashes = progress->crashes;
  MarkLost(worker, task, reason);
  live_submission* live = submissions_.Find(task.submission);
  if (!is_given_up || live == nullptr || live->outcome)
    return;
  Emit({.kind = scheduler_event_kind::kTaskGivenUp,
        .task = task,
        .worker = worker.description.id,
        .outcome = "crashes_workers",
        .input = crashes});
  Finish(*live, submission_outcome::kFailed, now);
}

void run_tracker::ReportLeftBehind(const worker_entry& worker) const {
  for (const auto& [task, run] : worker.runs)
    if (run.long_running)
      Emit({.kind = scheduler_event_kind::kTaskLeftBehind,
            .task = task,
            .worker = worker.description.id,
            .run = run.run,
            .outcome = StayReasonName(run.stays)});
}

void run_tracker::MarkDoubted(const worker_entry& worker) {
  for (const auto& [task, run] : worker.runs) {
    task_progress* progress = submissions_.Find(task);
    if (progress == nullptr || progress->run != run.run ||
        progress->doubted_run == run.run ||
        !crash_attribution::HasJustStarted(run))
      continue;
    progress->doubted_run = run.run;
    progress->doubted_run_confirmed = run.start_confirmed;
    MarkChanged(*submissions_.Find(task.submission), task);
  }
}

void run_tracker::MarkSurvived(worker_entry& worker,
                               const task_ref& task,
                               active_run& run) {
  worker_table::MarkSurvived(worker, run);
  if (live_submission* live = submissions_.Find(task.submission)) {
    submissions_.LiveStepOf(task).any_survived = true;
    if (!live->outcome)
      ClearSuspicion(worker, task, *submissions_.Find(task));
  }
}

void run_tracker::ClearSuspicion(const worker_entry& worker,
                                 const task_ref& task,
                                 task_progress& progress) {
  if (progress.crashes == 0 && progress.doubted_run == 0)
    return;
  if (progress.crashes > 0)
    Emit({.kind = scheduler_event_kind::kTaskCleared,
          .task = task,
          .worker = worker.description.id,
          .run = progress.run,
          .outcome = "survived",
          .input = progress.crashes});
  progress.doubted_run = 0;
  progress.doubted_run_confirmed = false;
  progress.crashes = 0;
  progress.confirmed_crashes = 0;
  progress.crash_blame_permille = 0;
  submissions_.MarkChanged(task);
}

void run_tracker::HandleEnd(worker_entry& worker,
                            const reported_end& end,
                            base::time_point now) {
  Emit({.kind = scheduler_event_kind::kRunEnded,
        .task = end.task,
        .worker = worker.description.id,
        .run = end.run,
        .outcome = RunOutcomeName(end.outcome),
        .input = end.number});
  MarkReported(end.task);
  const auto found = worker.runs.find(end.task);
  const bool active =
      found != worker.runs.end() && found->second.run == end.run;
  if (active)
    UpdateHealth(worker, end, found->second, now);
  if (active && end.outcome == run_outcome::kDone)
    RecordRunTime(end.task, found->second, now);
  if (active)
    RemoveRun(worker, end.task);
  live_submission* live = submissions_.Find(end.task.submission);
  task_progress* progress = submissions_.Find(end.task);
  if (live == nullptr || progress == nullptr || live->outcome)
    return EraseIfFinished(end.task.submission);
  const step_request& step = *submissions_.StepOf(end.task);
  if (end.outcome == run_outcome::kDone && !step.long_running) {
    ClearSuspicion(worker, end.task, *progress);
    submissions_.MarkDone(end.task);
    if (step.gang)
      ReleaseGang(end.task);
    return FinishIfDone(end.task.submission, now);
  }
  if (end.outcome == run_outcome::kFailed &&
      end.run > progress->last_counted_failure)
    CountFailure(worker, end, *progress, now);
  if (live->outcome)
    return EraseIfFinished(end.task.submission);
  if (active && progress->phase == task_phase::kAssigned) {
    progress->phase = task_phase::kWaiting;
    if (!end.checkpoint.empty())
      progress->checkpoint = end.checkpoint;
    submissions_.MarkChanged(end.task);
  }
}

void run_tracker::RecordRunTime(const task_ref& task,
                                const active_run& run,
                                base::time_point now) {
  live_submission* live = submissions_.Find(task.submission);
  // In other phases the start time of the run is not known.
  const bool start_known =
      run.phase == run_phase::kStarting || run.phase == run_phase::kRunning;
  if (live == nullptr || !start_known || !run.is_run_time_sample ||
      run.long_running)
    return;
  const step_request& step = *submissions_.StepOf(task);
  const auto run_time = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - run.phase_since - kReportDelay);
  run_time_estimator_.Observe(live->request.queue, step,
                              submissions_.LiveStepOf(task).measured, run_time);
  live->forecast_at.reset();
}

void run_tracker::CountFailure(worker_entry& worker,
                               const reported_end& end,
                               task_progress& progress,
                               base::time_point now) {
  ++progress.failures;
  progress.last_counted_failure = end.run;
  progress.last_failed_worker = worker.description.id;
  submissions_.MarkChanged(end.task);
  live_submission& live = *submissions_.Find(end.task.submission);
  const bool long_running = submissions_.StepOf(end.task)->long_running;
  if (!long_running && progress.failures >= live.request.policy.attempt_limit)
    Finish(live, submission_outcome::kFailed, now);
}

void run_tracker::UpdateHealth(worker_entry& worker,
                               const reported_end& end,
                               const active_run& run,
                               base::time_point now) {
  auto change = worker_health::change::kNone;
  if (end.outcome == run_outcome::kDone)
    change = worker_health::OnDone(worker, run.begun_at);
  else if (end.outcome == run_outcome::kFailed)
    change = health_.OnFailed(worker, end.task, run.begun_at, now);
  if (change == worker_health::change::kOnProbation)
    Avoid(worker, "failures", worker.health.consecutive_failures, now);
  else if (change == worker_health::change::kTrusted)
    EmitTrusted(worker);
}

void run_tracker::CheckTest(worker_entry& worker,
                            const task_ref& task,
                            const active_run& run,
                            base::time_point now) {
  const auto change = health_.OnAlive(worker, task, run.phase_since, now);
  if (change == worker_health::change::kTrusted)
    EmitTrusted(worker);
}

void run_tracker::EmitTrusted(const worker_entry& worker) const {
  Emit({.kind = scheduler_event_kind::kWorkerTrusted,
        .worker = worker.description.id});
}

void run_tracker::Avoid(worker_entry& worker,
                        std::string_view reason,
                        std::int64_t count,
                        base::time_point now) {
  worker.health.avoid_until = now + settings_.avoidance_period;
  Emit({.kind = scheduler_event_kind::kWorkerAvoided,
        .worker = worker.description.id,
        .outcome = reason,
        .input = count});
}

std::chrono::duration<double, std::milli> run_tracker::ExpectedTime(
    const task_ref& task) {
  return run_time_estimator_.Expect(
      submissions_.Find(task.submission)->request.queue,
      *submissions_.StepOf(task), submissions_.LiveStepOf(task).measured);
}

void run_tracker::FinishIfDone(const std::string& submission,
                               base::time_point now) {
  live_submission& live = *submissions_.Find(submission);
  if (submission_table::IsDone(live))
    Finish(live, submission_outcome::kCompleted, now);
}

void run_tracker::ReleaseGang(const task_ref& task) {
  const step_request& step = *submissions_.StepOf(task);
  task_ref member = task;
  for (member.index = 0; member.index < step.task_count; ++member.index) {
    const task_progress& progress = *submissions_.Find(member);
    if (worker_entry* worker = workers_.Find(progress.worker))
      RemoveRun(*worker, member);
  }
}

void run_tracker::Finish(live_submission& live,
                         submission_outcome outcome,
                         base::time_point now) {
  if (live.outcome)
    return;
  live.outcome = outcome;
  const std::string id = live.request.id;
  // A cancellation is recorded by the instance that accepted it.
  if (outcome != submission_outcome::kCancelled)
    outcomes_.push_back({id, outcome});
  Emit({.kind = scheduler_event_kind::kSubmissionEnded,
        .task = {id},
        .outcome = SubmissionOutcomeName(outcome),
        .input = (since_epoch_ - live.request.accepted_since_epoch).count()});
  if (live.active_runs > 0)
    for (auto& [worker_id, worker] : workers_.All())
      for (auto& [task, run] : worker.runs)
        if (task.submission == id && run.phase != run_phase::kUncommitted)
          Stop(worker, task, run, now);
}

void run_tracker::Stop(worker_entry& worker,
                       const task_ref& task,
                       active_run& run,
                       base::time_point now) {
  run.phase = run_phase::kStopping;
  run.phase_since = now;
  run.stop_sent_at = now;
  stops_.push_back({task, run.run, worker.description.id});
}

void run_tracker::EraseIfFinished(const std::string& submission) {
  const live_submission* live = submissions_.Find(submission);
  if (live == nullptr || !live->outcome || live->active_runs > 0)
    return;
  const bool pending =
      std::ranges::any_of(outcomes_, [&](const outcome_change& change) {
        return change.submission == submission;
      });
  if (!pending)
    submissions_.Erase(submission);
}

void run_tracker::RemoveRun(worker_entry& worker, const task_ref& task) {
  if (!worker.runs.contains(task))
    return;
  worker_table::RemoveRun(worker, task);
  if (live_submission* live = submissions_.Find(task.submission))
    --live->active_runs;
}

void run_tracker::MarkChanged(const live_submission& live,
                              const task_ref& task) {
  if (!live.outcome)
    submissions_.MarkChanged(task);
}

void run_tracker::Emit(const scheduler_event& event) const {
  if (on_event_)
    on_event_(event);
}

}  // namespace chivecrank::submissions::internal
