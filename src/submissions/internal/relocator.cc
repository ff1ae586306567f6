#include "internal/relocator.h"

#include <algorithm>

#include "internal/candidate_queue.h"

namespace chivecrank::submissions::internal {
namespace {

/// A filling task that is slowed this far is moved if another worker can take
/// it, unless it is nearly done.
constexpr std::int32_t kMoveAtPercent = 50;
constexpr std::int32_t kNearlyDonePercent = 85;
constexpr std::int32_t kWholePercent = 100;
/// Work left from which a task with checkpoints is moved off a worker that
/// leaves: it would hardly end there in time.
constexpr std::chrono::milliseconds kWorthMoving{2000};

std::chrono::milliseconds WorkLeft(const active_run& run,
                                   const step_request& step,
                                   base::time_point now) {
  if (run.percent <= 0)
    return step.estimate;
  const auto ran =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - run.since);
  return ran * (kWholePercent - run.percent) / run.percent;
}

std::vector<task_ref> RunsThat(
    const worker_entry& worker,
    const std::function<bool(const task_ref&, const active_run&)>& are_meant) {
  std::vector<task_ref> found;
  for (const auto& [task, run] : worker.runs)
    if (run.phase == run_phase::kRunning && are_meant(task, run))
      found.push_back(task);
  return found;
}

}  // namespace

void relocator::MoveDisturbing(base::time_point now) {
  for (auto& [id, worker] : book_.Workers().All()) {
    const auto slowed =
        RunsThat(worker, [](const task_ref&, const active_run& run) {
          return run.fills && run.wanted_percent <= kMoveAtPercent &&
                 run.percent < kNearlyDonePercent;
        });
    for (const task_ref& task : slowed)
      Move(worker, task, scheduler_event_kind::kBestEffortMoved,
           worker.runs.at(task).wanted_percent, now);
  }
}

void relocator::MoveStalled(base::time_point now) {
  for (auto& [id, worker] : book_.Workers().All()) {
    const auto stalled = RunsThat(
        worker,
        [](const task_ref&, const active_run& run) { return run.stalled; });
    if (stalled.empty())
      continue;
    if (now >= worker.health.avoid_until)
      book_.Avoid(worker, "stalled", static_cast<std::int64_t>(stalled.size()),
                  now);
    for (const task_ref& task : stalled)
      Move(worker, task, scheduler_event_kind::kStalledTaskMoved,
           worker.runs.at(task).percent, now);
  }
}

void relocator::EmptyDraining(base::time_point now) {
  for (auto& [id, worker] : book_.Workers().All()) {
    if (!worker.listed || !worker.description.draining)
      continue;
    auto leaving =
        RunsThat(worker, [&](const task_ref& task, const active_run& run) {
          const step_request* step = book_.Submissions().StepOf(task);
          return step != nullptr && ShouldLeave(run, *step, now);
        });
    std::sort(leaving.begin(), leaving.end());
    for (const task_ref& task : leaving)
      if (!worker.runs.at(task).lasting || MayBeAway(worker, task))
        Move(worker, task, scheduler_event_kind::kTaskEvacuated,
             worker.runs.at(task).percent, now);
  }
}

bool relocator::ShouldLeave(const active_run& run,
                            const step_request& step,
                            base::time_point now) {
  if (run.lasting)
    return true;
  return step.checkpoints && !step.gang &&
         WorkLeft(run, step, now) > kWorthMoving;
}

bool relocator::MayBeAway(const worker_entry& worker, const task_ref& task) {
  const step_request& step = *book_.Submissions().StepOf(task);
  const std::int32_t here = placer::RunsOfStep(worker, task);
  return TasksAway(task) < std::max(step.max_unavailable, (here + 1) / 2);
}

std::int32_t relocator::TasksAway(const task_ref& task) {
  const step_request& step = *book_.Submissions().StepOf(task);
  std::int32_t away = 0;
  task_ref other = task;
  for (other.index = 0; other.index < step.task_count; ++other.index)
    away += IsAtWork(other) ? 0 : 1;
  return away;
}

bool relocator::IsAtWork(const task_ref& task) {
  const task_progress& progress = *book_.Submissions().Find(task);
  worker_entry* worker = progress.phase == task_phase::kAssigned
                             ? book_.Workers().Find(progress.worker)
                             : nullptr;
  if (worker == nullptr)
    return false;
  const auto found = worker->runs.find(task);
  return found != worker->runs.end() &&
         found->second.phase == run_phase::kRunning &&
         found->second.percent >= kWholePercent;
}

void relocator::Move(worker_entry& worker,
                     const task_ref& task,
                     scheduler_event_kind why,
                     std::int64_t input,
                     base::time_point now) {
  const live_submission* live = book_.Submissions().Find(task.submission);
  if (live == nullptr || live->outcome || !HoldRoom(worker, *live, task, now))
    return;
  active_run& run = worker.runs.at(task);
  book_.Emit({.kind = why,
              .task = task,
              .worker = worker.description.id,
              .run = run.run,
              .outcome = book_.Images().NameOf(run.image),
              .input = input});
  book_.Stop(worker, task, run, now);
}

bool relocator::HoldRoom(const worker_entry& runs_on,
                         const live_submission& live,
                         const task_ref& task,
                         base::time_point now) {
  static const task_progress never_ran;
  placement_request request = request_for_(live, task, now);
  request.progress = &never_ran;
  request.runs_on = &runs_on;
  worker_entry* found = nullptr;
  if (!full_.Covers(request, 1))
    found = candidate_queue(placer_, request).Take(request);
  if (found == nullptr) {
    full_.Add(request, 1);
    if (request.step->long_running)
      placer_.HoldRoomFor(request);
    return false;
  }
  active_run held;
  held.reserved = ReservedBy(*request.step);
  held.processors_milli = request.step->demand.processors_milli;
  held.image = request.image;
  held.fills = request.step->best_effort;
  held.lasting = request.step->long_running;
  worker_table::AddRun(*found, task, held);
  held_.push_back({found, task});
  return true;
}

void relocator::EndRound() {
  for (const held_room& held : held_)
    worker_table::RemoveRun(*held.worker, held.task);
  held_.clear();
}

}  // namespace chivecrank::submissions::internal
