#include "internal/relocator.h"

#include <algorithm>

#include "internal/candidate_queue.h"
#include "internal/move_benefit.h"

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int32_t kFullPercent = 100;
/// Remaining run time above which a task with checkpoints is moved off a
/// draining worker: it would hardly finish there in time.
constexpr std::chrono::milliseconds kMinWorkLeftToMove{2000};
/// With less time until a worker may leave, its tasks don't wait for each
/// other: the entry that tells the time may have been over a second old, and a
/// stop takes half a second.
constexpr std::chrono::milliseconds kMinTimeToTakeTurns{2000};

std::chrono::milliseconds WorkLeft(const active_run& run,
                                   const step_request& step,
                                   base::time_point now) {
  if (run.percent <= 0)
    return step.estimate;
  const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - run.phase_since);
  return ran * (kFullPercent - run.percent) / run.percent;
}

/// Whether the worker stays long enough for its tasks to leave one after the
/// other, as far as is known.
bool CanTakeTurns(const worker_description& worker, base::time_point now) {
  return !worker.stays_until ||
         *worker.stays_until - now >= kMinTimeToTakeTurns;
}

std::vector<task_ref> RunningTasks(
    const worker_entry& worker,
    const std::function<bool(const task_ref&, const active_run&)>& matches) {
  std::vector<task_ref> found;
  for (const auto& [task, run] : worker.runs)
    if (run.phase == run_phase::kRunning && matches(task, run))
      found.push_back(task);
  return found;
}

}  // namespace

void relocator::MoveInterfering(base::time_point now) {
  for (auto& [id, worker] : tracker_.Workers().All()) {
    if (!worker.may_have_throttled)
      continue;
    const auto slowed = RunningTasks(
        worker, [this](const task_ref& task, const active_run& run) {
          return run.best_effort && run.target_percent < kFullPercent &&
                 IsWorthMovingFrom(task, run);
        });
    for (const task_ref& task : slowed)
      Move(worker, task, scheduler_event_kind::kBestEffortMoved,
           worker.runs.at(task).target_percent, now);
  }
}

bool relocator::IsWorthMovingFrom(const task_ref& task, const active_run& run) {
  const step_request* step = tracker_.Submissions().StepOf(task);
  if (step == nullptr)
    return false;
  const auto run_time = std::chrono::duration_cast<std::chrono::milliseconds>(
      tracker_.ExpectedTime(task));
  return IsWorthMoving({.run_time = run_time,
                        .done_percent = run.percent,
                        .speed_percent = run.target_percent,
                        .saves_progress = step->checkpoints});
}

void relocator::MoveStalled(base::time_point now) {
  for (auto& [id, worker] : tracker_.Workers().All()) {
    if (!worker.may_have_stalled)
      continue;
    const auto stalled = RunningTasks(
        worker,
        [](const task_ref&, const active_run& run) { return run.stalled; });
    if (stalled.empty())
      continue;
    if (now >= worker.health.avoid_until)
      tracker_.Avoid(worker, "stalled",
                     static_cast<std::int64_t>(stalled.size()), now);
    for (const task_ref& task : stalled)
      Move(worker, task, scheduler_event_kind::kStalledTaskMoved,
           worker.runs.at(task).percent, now);
  }
}

void relocator::EvacuateDraining(base::time_point now) {
  for (auto& [id, worker] : tracker_.Workers().All()) {
    if (!worker.listed || !worker.description.draining)
      continue;
    auto leaving =
        RunningTasks(worker, [&](const task_ref& task, const active_run& run) {
          const step_request* step = tracker_.Submissions().StepOf(task);
          return step != nullptr && ShouldEvacuate(run, *step, now);
        });
    std::sort(leaving.begin(), leaving.end());
    for (auto& [task, run] : worker.runs)
      run.stays = stay_reason::kNotRunning;
    for (const task_ref& task : leaving)
      Evacuate(worker, task, now);
  }
}

void relocator::Evacuate(worker_entry& worker,
                         const task_ref& task,
                         base::time_point now) {
  active_run& run = worker.runs.at(task);
  if (run.long_running && CanTakeTurns(worker.description, now) &&
      !IsItsTurn(worker, task)) {
    run.stays = stay_reason::kTooManyUnavailable;
    return;
  }
  if (!Move(worker, task, scheduler_event_kind::kTaskEvacuated, run.percent,
            now))
    run.stays = stay_reason::kNoCapacity;
}

bool relocator::IsItsTurn(const worker_entry& worker, const task_ref& task) {
  const step_request& step = *tracker_.Submissions().StepOf(task);
  // At least half of the step's tasks there, since the worker may shut down
  // before the last one has moved.
  const std::int32_t limit = std::max(
      step.max_unavailable, (placer::RunsOfStep(worker, task) + 1) / 2);
  return CountOthers(task, [this](const task_ref& other) {
           return IsAwayForNow(other);
         }) < limit;
}

bool relocator::IsAwayForNow(const task_ref& task) {
  const task_progress& progress = *tracker_.Submissions().Find(task);
  const worker_entry* worker = progress.phase == task_phase::kAssigned
                                   ? tracker_.Workers().Find(progress.worker)
                                   : nullptr;
  const bool is_lost = worker != nullptr && worker->silent_since;
  return !is_lost && !IsServing(task);
}

bool relocator::ShouldEvacuate(const active_run& run,
                               const step_request& step,
                               base::time_point now) {
  if (run.long_running)
    return true;
  return step.checkpoints && !step.gang &&
         WorkLeft(run, step, now) > kMinWorkLeftToMove;
}

bool relocator::CanBeUnavailable(const task_ref& task) {
  const step_request& step = *tracker_.Submissions().StepOf(task);
  return CountOthers(task, [this](const task_ref& other) {
           return !IsServing(other);
         }) < std::max(step.max_unavailable, 1);
}

void relocator::LeaveDrainedDomains(base::time_point now) {
  if (!drains_.IsAnyDrained())
    return;
  for (auto& [id, worker] : tracker_.Workers().All())
    if (worker.domain_drained && !worker.description.draining &&
        !LeaveDrainedDomain(worker, now))
      return;
}

bool relocator::LeaveDrainedDomain(worker_entry& worker, base::time_point now) {
  const auto serving =
      RunningTasks(worker, [](const task_ref&, const active_run& run) {
        return run.long_running && run.percent >= kFullPercent;
      });
  for (const task_ref& task : serving) {
    const std::int64_t demand = worker.runs.at(task).reserved.processors_milli;
    if (!drains_.MayMove(demand))
      return false;
    if (tracker_.Submissions().StepOf(task) == nullptr ||
        !CanBeUnavailable(task))
      continue;
    if (Move(worker, task, scheduler_event_kind::kDomainTaskMoved,
             worker.runs.at(task).percent, now))
      drains_.OnMoved(worker, demand);
  }
  return true;
}

std::int32_t relocator::CountOthers(
    const task_ref& task,
    const std::function<bool(const task_ref&)>& matches) {
  const step_request& step = *tracker_.Submissions().StepOf(task);
  std::int32_t count = 0;
  task_ref other = task;
  for (other.index = 0; other.index < step.task_count; ++other.index)
    count += other.index != task.index && matches(other) ? 1 : 0;
  return count;
}

bool relocator::IsServing(const task_ref& task) {
  const task_progress& progress = *tracker_.Submissions().Find(task);
  worker_entry* worker = progress.phase == task_phase::kAssigned
                             ? tracker_.Workers().Find(progress.worker)
                             : nullptr;
  if (worker == nullptr)
    return false;
  const auto found = worker->runs.find(task);
  return found != worker->runs.end() &&
         found->second.phase == run_phase::kRunning &&
         found->second.percent >= kFullPercent;
}

bool relocator::Move(worker_entry& worker,
                     const task_ref& task,
                     scheduler_event_kind kind,
                     std::int64_t input,
                     base::time_point now) {
  const live_submission* live = tracker_.Submissions().Find(task.submission);
  if (live == nullptr || live->outcome ||
      !ReserveCapacity(worker, *live, task, now))
    return false;
  active_run& run = worker.runs.at(task);
  tracker_.Emit({.kind = kind,
                 .task = task,
                 .worker = worker.description.id,
                 .run = run.run,
                 .outcome = tracker_.Images().NameOf(run.image),
                 .input = input});
  tracker_.Stop(worker, task, run, now);
  return true;
}

bool relocator::ReserveCapacity(const worker_entry& current_worker,
                                const live_submission& live,
                                const task_ref& task,
                                base::time_point now) {
  placement_request request = WithoutHistory(request_for_(live, task, now));
  request.current_worker = &current_worker;
  worker_entry* found = nullptr;
  if (!infeasible_.Covers(request, 1))
    found = candidate_queue(placer_, request).Take(request);
  if (found == nullptr) {
    infeasible_.Add(request, 1);
    if (request.step->long_running)
      placer_.ReserveWorkerFor(request);
    return false;
  }
  active_run placeholder;
  placeholder.reserved = ReservedBy(*request.step);
  placeholder.processors_milli = request.step->demand.processors_milli;
  placeholder.image = request.image;
  placeholder.best_effort = request.step->best_effort;
  placeholder.long_running = request.step->long_running;
  worker_table::AddRun(*found, task, placeholder);
  reservations_.push_back({found, task});
  return true;
}

void relocator::EndRound() {
  for (const reservation& reserved : reservations_)
    worker_table::RemoveRun(*reserved.worker, reserved.task);
  reservations_.clear();
}

}  // namespace chivecrank::submissions::internal
