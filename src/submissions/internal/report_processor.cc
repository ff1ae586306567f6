#include "internal/report_processor.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <vector>

namespace chivecrank::submissions::internal {
namespace {

bool IsListed(const worker_report& report,
              const task_ref& task,
              std::int32_t run) {
  return std::ranges::any_of(report.running, [&](const reported_run& listed) {
    return listed.task == task && listed.run == run;
  });
}

}  // namespace

void report_processor::Process(worker_entry& worker,
                               const worker_report& report,
                               base::time_point requested_at,
                               base::time_point now,
                               std::uint64_t next_batch) {
  NoticeRestart(worker, report);
  worker.reported = true;
  worker.reported_at = now;
  worker.lacks_room = false;
  TakeEnds(worker, report, now, next_batch);
  for (const reported_run& listed : report.running)
    TakeRunning(worker, listed, now);
  if (!report.ends_truncated)
    TakeAbsent(worker, report, requested_at, now);
  learned_.Observe(worker, now);
  guard_.Update(worker, now);
  worker.occupied.reset();
}

void report_processor::NoticeRestart(worker_entry& worker,
                                     const worker_report& report) {
  if (worker.reported_born_ms == report.started_at_ms)
    return;
  const bool known_before = worker.reported_born_ms != 0;
  worker.reported_born_ms = report.started_at_ms;
  worker.seen_end = 0;
  worker.committed_end = 0;
  worker.pending_acks.clear();
  worker.health = {};
  worker.latency = {};
  // What this owner started may have reached the new life; its lists tell, as
  // for any other run.
  std::vector<task_ref> gone;
  for (const auto& [task, run] : worker.runs)
    if (!run.own && !IsListed(report, task, run.run) &&
        IsOfEarlierLife(worker, task))
      gone.push_back(task);
  for (const task_ref& task : gone)
    book_.Lose(worker, task, "worker_restarted");
  if (known_before)
    book_.Emit({.kind = scheduler_event_kind::kWorkerRestarted,
                .worker = worker.description.id,
                .input = report.started_at_ms});
}

bool report_processor::IsOfEarlierLife(const worker_entry& worker,
                                       const task_ref& task) {
  const task_progress* progress = book_.Submissions().Find(task);
  return progress == nullptr ||
         progress->worker_born_ms != worker.reported_born_ms;
}

void report_processor::TakeEnds(worker_entry& worker,
                                const worker_report& report,
                                base::time_point now,
                                std::uint64_t next_batch) {
  for (const reported_end& end : report.ended) {
    if (end.number <= worker.seen_end)
      continue;
    worker.seen_end = end.number;
    book_.End(worker, end, now);
    worker.pending_acks.push_back({end.number, next_batch});
  }
}

void report_processor::TakeRunning(worker_entry& worker,
                                   const reported_run& listed,
                                   base::time_point now) {
  const auto found = worker.runs.find(listed.task);
  if (found == worker.runs.end() || found->second.run != listed.run)
    return StopStray(worker, listed);
  ConfirmRunning(worker, found->second, listed, now);
}

void report_processor::ConfirmRunning(worker_entry& worker,
                                      active_run& run,
                                      const reported_run& listed,
                                      base::time_point now) {
  if (!listed.checkpoint.empty())
    run.checkpoint = listed.checkpoint;
  NoteProgress(listed, run, now);
  run.reading = listed.measurement;
  if (run.phase == run_phase::kStopping) {
    if (now - run.stop_sent >= settings_.stop_interval)
      book_.Stop(worker, listed.task, run, now);
    return;
  }
  if (run.phase == run_phase::kRunning)
    return;
  book_.NoteBegun(listed.task);
  run.phase = run_phase::kRunning;
  run.since = now;
}

void report_processor::NoteProgress(const reported_run& listed,
                                    active_run& run,
                                    base::time_point now) {
  const bool moves_on = listed.percent != run.percent;
  const bool may_move_on = run.phase == run_phase::kRunning && !run.lasting &&
                           run.throttle_percent == active_run::kFullSpeed &&
                           run.wanted_percent == active_run::kFullSpeed;
  run.percent = listed.percent;
  if (moves_on || !may_move_on) {
    run.progressed_at = now;
    run.stalled = false;
    return;
  }
  const step_request* step = book_.Submissions().StepOf(listed.task);
  // A gang moves on when all its members are there.
  if (step == nullptr || step->gang)
    return;
  const base::duration idle = now - std::max(run.progressed_at, run.since);
  run.stalled =
      idle >= settings_.stalled_after &&
      idle >= book_.ExpectedTime(listed.task) * settings_.stalled_share;
}

void report_processor::StopStray(worker_entry& worker,
                                 const reported_run& listed) {
  worker.lacks_room = true;
  book_.AddStop({listed.task, listed.run, worker.description.id});
  book_.Emit({.kind = scheduler_event_kind::kUnknownRunStopped,
              .task = listed.task,
              .worker = worker.description.id,
              .run = listed.run});
}

void report_processor::TakeAbsent(worker_entry& worker,
                                  const worker_report& report,
                                  base::time_point requested_at,
                                  base::time_point now) {
  absl::flat_hash_set<task_ref> running;
  for (const reported_run& listed : report.running)
    running.insert(listed.task);
  std::vector<task_ref> absent;
  for (const auto& [task, run] : worker.runs) {
    const bool may_be_listed = run.phase == run_phase::kRunning ||
                               run.phase == run_phase::kUncertain ||
                               run.phase == run_phase::kStopping;
    if (may_be_listed && run.since < requested_at && !running.contains(task))
      absent.push_back(task);
  }
  for (const task_ref& task : absent)
    SettleAbsent(worker, task, now);
}

void report_processor::SettleAbsent(worker_entry& worker,
                                    const task_ref& task,
                                    base::time_point now) {
  active_run& run = worker.runs.at(task);
  // An order of an earlier owner can't arrive any more: the worker follows
  // this one. Neither can one that was barred by a stop.
  const bool may_still_start =
      run.own && !run.barred && run.phase != run_phase::kRunning;
  if (!may_still_start)
    return book_.Lose(
        worker, task,
        IsOfEarlierLife(worker, task) ? "worker_restarted" : "not_listed");
  if (now - run.stop_sent < settings_.stop_interval)
    return;
  run.stop_sent = now;
  book_.AddStop({task, run.run, worker.description.id});
}

}  // namespace chivecrank::submissions::internal
