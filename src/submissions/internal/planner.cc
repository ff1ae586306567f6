#include "internal/planner.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "chivecrank/scheduling/resources.h"
#include "internal/crash_attribution.h"

namespace chivecrank::submissions::internal {
namespace {

constexpr std::size_t kMaxWorkersPerRequest = 30;

/// Forecasts of a submission are updated at this interval, since other runs may
/// have changed the estimates of its queue.
constexpr std::chrono::milliseconds kForecastInterval{500};

bool HasWaiting(const live_step& step) {
  return std::ranges::any_of(step.tasks, [](const task_progress& task) {
    return task.phase == task_phase::kWaiting;
  });
}

bool AllWait(const live_step& step) {
  return std::ranges::all_of(step.tasks, [](const task_progress& task) {
    return task.phase == task_phase::kWaiting;
  });
}

task_ref FirstTaskOf(const ready_step& ready) {
  return {ready.live->request.id, ready.occurrence, ready.step};
}

std::int32_t HighestRun(const live_step& step) {
  std::int32_t highest = 0;
  for (const task_progress& task : step.tasks)
    highest = std::max(highest, task.run);
  return highest;
}

}  // namespace

void planner::Plan(base::time_point now,
                   std::chrono::milliseconds since_epoch) {
  // A domain may have been drained unseen: nothing may start, so nothing may
  // move either.
  if (!drains_.IsCurrent(now))
    return;
  placer_.BeginRound(now);
  waits_.BeginRound(now);
  drains_.BeginRound(now);
  infeasible_.Clear();
  relocator_.MoveStalled(now);
  relocator_.MoveInterfering(now);
  relocator_.EvacuateDraining(now);
  relocator_.LeaveDrainedDomains(now);
  std::vector<ready_step> ready = ReadySteps(now, since_epoch);
  SortByUrgency(ready, since_epoch);
  // Before a worker has answered, nothing is known of the room.
  if (HasAnswer())
    Place(ready, now);
  relocator_.EndRound();
}

bool planner::HasAnswer() const {
  return std::ranges::any_of(
      std::as_const(tracker_).Workers().All(),
      [](const auto& entry) { return entry.second.reported; });
}

void planner::Place(const std::vector<ready_step>& ready,
                    base::time_point now) {
  for (const ready_step& entry : ready) {
    if (entry.Request().gang)
      PlaceGang(entry, now);
    else
      PlaceTasks(entry, now);
  }
}

std::vector<ready_step> planner::ReadySteps(
    base::time_point now,
    std::chrono::milliseconds since_epoch) {
  std::vector<ready_step> ready;
  for (auto& [id, live] : tracker_.Submissions().All()) {
    if (live->outcome || live->moving)
      continue;
    for (std::size_t occurrence_index = 0;
         occurrence_index < live->occurrences.size(); ++occurrence_index) {
      const live_occurrence& occurrence = live->occurrences[occurrence_index];
      if (occurrence.due_since_epoch > since_epoch)
        continue;
      for (std::size_t step_index = 0; step_index < occurrence.steps.size();
           ++step_index) {
        if (!HasWaiting(occurrence.steps[step_index]) ||
            !submission_table::IsReady(*live, occurrence_index, step_index))
          continue;
        if (!live->forecast_at || now - *live->forecast_at >= kForecastInterval)
          submission_table::UpdateForecast(*live, tracker_.RunTimes(), now);
        ready_step& entry = ready.emplace_back();
        entry.live = live.get();
        entry.occurrence = static_cast<std::int32_t>(occurrence_index);
        entry.step = static_cast<std::int32_t>(step_index);
        entry.priority = PolicyOf(*live).priority;
      }
    }
  }
  return ready;
}

const queue_policy& planner::PolicyOf(const live_submission& live) const {
  const auto found = policies_.find(live.request.queue);
  return found == policies_.end() ? live.request.policy : found->second;
}

placement_request planner::RequestFor(const live_submission& live,
                                      const task_ref& task,
                                      base::time_point now) {
  placement_request request;
  request.step = tracker_.Submissions().StepOf(task);
  request.progress = tracker_.Submissions().Find(task);
  request.service = &PolicyOf(live).service;
  request.image = tracker_.Images().NumberOf(request.step->image);
  request.task = task;
  request.on_trial = crash_attribution::IsSuspect(*request.progress);
  request.last_attempt =
      request.progress->failures + 1 >= PolicyOf(live).attempt_limit;
  request.now = now;
  if (PolicyOf(live).permits)
    request.permits = &permits_;
  return request;
}

void planner::RequestPermits(const ready_step& ready,
                             const placement_request& request) {
  if (request.permits == nullptr ||
      permits_.IsRequestPending(request.task, request.now))
    return;
  placement_request without_permits = request;
  without_permits.permits = nullptr;
  candidate_queue workers(placer_, without_permits);
  permit_request new_request;
  new_request.step = request.task;
  new_request.timing = *PolicyOf(*ready.live).permits;
  while (new_request.workers.size() < kMaxWorkersPerRequest) {
    const worker_entry* worker = workers.Take(without_permits);
    if (worker == nullptr)
      break;
    if (permits_.CanRequest(request.task, *worker, request.now))
      new_request.workers.push_back(worker->description.id);
  }
  if (new_request.workers.empty())
    return;
  permits_.OnRequested(new_request, tracker_.Workers(), request.now);
  permit_requests_.push_back(std::move(new_request));
}

bool planner::AwaitsTrial(const live_step& step, const task_progress& task) {
  if (step.any_survived || step.done > 0 || !crash_attribution::IsSuspect(task))
    return false;
  return std::ranges::any_of(step.tasks, [](const task_progress& other) {
    return other.phase == task_phase::kAssigned &&
           crash_attribution::IsSuspect(other);
  });
}

void planner::PlaceTasks(const ready_step& ready, base::time_point now) {
  task_ref task = FirstTaskOf(ready);
  if (WaitsForFullCapacity(ready, now))
    return;
  const std::int32_t count = ready.Request().task_count;
  const live_step& step =
      ready.Occurrence().steps[static_cast<std::size_t>(ready.step)];
  std::optional<candidate_queue> workers;
  for (task.index = 0; task.index < count; ++task.index) {
    const task_progress& progress = *tracker_.Submissions().Find(task);
    if (progress.phase != task_phase::kWaiting || AwaitsTrial(step, progress))
      continue;
    const placement_request request = RequestFor(*ready.live, task, now);
    if (request.on_trial) {
      PlaceApart(ready, request);
      continue;
    }
    if (!workers && !infeasible_.Covers(request, 1))
      workers.emplace(placer_, request);
    if (workers && PlaceTask(request, *workers))
      continue;
    if (PlaceAfterWait(request))
      continue;
    OnNoWorker(ready, request);
    const bool none_left = workers && workers->IsEmpty();
    // A retry is choosier than the tasks after it.
    if (workers && !none_left && request.IsRetry())
      continue;
    // The remaining tasks of the step have the same demand.
    if (none_left)
      infeasible_.Add(request, 1);
    if (!ready.live->no_capacity_since)
      ready.live->no_capacity_since = now;
    return;
  }
}

void planner::PlaceApart(const ready_step& ready,
                         const placement_request& request) {
  candidate_queue workers(placer_, request);
  if (!PlaceTask(request, workers) && !PlaceAfterWait(request))
    OnNoWorker(ready, request);
}

bool planner::HasWaited(const placement_request& request) const {
  return placer_.Health().MayRuleOut(request.IsRetry()) &&
         waits_.HasWaited(request.task, request.WaitsAlone(), request.now);
}

bool planner::PlaceAfterWait(const placement_request& request) {
  if (!HasWaited(request))
    return false;
  placement_request unchoosy = request;
  unchoosy.has_waited = true;
  if (infeasible_.Covers(unchoosy, 1))
    return false;
  candidate_queue workers(placer_, unchoosy);
  if (PlaceTask(unchoosy, workers))
    return true;
  if (workers.IsEmpty())
    infeasible_.Add(unchoosy, 1);
  return false;
}

void planner::OnNoWorker(const ready_step& ready,
                         const placement_request& request) {
  RequestPermits(ready, request);
  RecordWait(request);
  if (request.step->long_running)
    placer_.ReserveWorkerFor(request);
}

void planner::RecordWait(const placement_request& request) {
  if (!waits_.OnNoWorker(request.task, request.WaitsAlone(), request.now))
    return;
  const std::int64_t left_out = placer_.CountLeftOut(request);
  tracker_.Emit({.kind = scheduler_event_kind::kTaskWaits,
                 .task = request.task,
                 .run = request.progress->run,
                 .outcome = left_out > 0 ? "bad_records" : "no_room",
                 .input = left_out});
}

bool planner::PlaceTask(const placement_request& request,
                        candidate_queue& workers) {
  worker_entry* worker = workers.Take(request);
  if (worker == nullptr)
    return false;
  // A task that gave up its choice says nothing of workers for the others.
  if (!request.has_waited || request.WaitsAlone())
    waits_.OnPlaced(request.task, request.WaitsAlone());
  placer_.OnAssign(*worker, request);
  tracker_.Assign(request.task, request.progress->run + 1, *worker,
                  request.now);
  workers.Return(*worker);
  return true;
}

void planner::PlaceGang(const ready_step& ready, base::time_point now) {
  const live_step& step =
      ready.Occurrence().steps[static_cast<std::size_t>(ready.step)];
  if (!AllWait(step))
    return;
  placement_request request = RequestFor(*ready.live, FirstTaskOf(ready), now);
  if (ready.Request().same_rack)
    for (const std::string& rack : RacksByFreeCapacity()) {
      request.rack = rack;
      if (PlaceGangOn(ready, request))
        return;
    }
  request.rack.clear();
  if (PlaceGangOn(ready, request))
    return;
  request.has_waited = HasWaited(request);
  if (request.has_waited && PlaceGangOn(ready, request))
    return;
  RecordWait(request);
}

bool planner::PlaceGangOn(const ready_step& ready,
                          const placement_request& request) {
  const live_step& step =
      ready.Occurrence().steps[static_cast<std::size_t>(ready.step)];
  const auto chosen = ChooseForAll(ready, request);
  if (chosen.empty())
    return false;
  const std::int32_t run = HighestRun(step) + 1;
  task_ref task = FirstTaskOf(ready);
  for (worker_entry* worker : chosen) {
    worker_health::OnAssign(*worker, task);
    tracker_.Assign(task, run, *worker, request.now);
    ++task.index;
  }
  return true;
}

std::vector<worker_entry*> planner::ChooseForAll(const ready_step& ready,
                                                 placement_request request) {
  const step_request& wanted = ready.Request();
  task_ref task = FirstTaskOf(ready);
  // Capacity is reserved with placeholder runs, which are removed before
  // returning.
  std::vector<worker_entry*> chosen;
  if (infeasible_.Covers(request, wanted.task_count))
    return chosen;
  candidate_queue workers(placer_, request);
  for (; task.index < wanted.task_count; ++task.index) {
    request.task = task;
    request.progress = tracker_.Submissions().Find(task);
    request.on_trial = crash_attribution::IsSuspect(*request.progress);
    worker_entry* worker = workers.Take(request);
    if (worker == nullptr)
      break;
    active_run placeholder;
    placeholder.reserved = ReservedBy(wanted);
    placeholder.processors_milli = wanted.demand.processors_milli;
    placeholder.image = request.image;
    placeholder.long_running = wanted.long_running;
    placeholder.on_trial = request.on_trial;
    worker_table::AddRun(*worker, task, placeholder);
    workers.Return(*worker);
    chosen.push_back(worker);
  }
  const bool is_complete =
      static_cast<std::int32_t>(chosen.size()) == wanted.task_count;
  task.index = 0;
  for (worker_entry* worker : chosen) {
    worker_table::RemoveRun(*worker, task);
    ++task.index;
  }
  if (is_complete)
    return chosen;
  RequestPermits(ready, request);
  if (workers.IsEmpty())
    infeasible_.Add(request, wanted.task_count);
  return {};
}

bool planner::WaitsForFullCapacity(const ready_step& ready,
                                   base::time_point now) {
  live_submission& live = *ready.live;
  if (!ready.Request().long_running || live.any_task_assigned ||
      !ChooseForAll(ready, RequestFor(live, FirstTaskOf(ready), now)).empty())
    return false;
  RecordWait(RequestFor(live, FirstTaskOf(ready), now));
  if (!live.no_capacity_since)
    live.no_capacity_since = now;
  return now - *live.no_capacity_since < settings_.full_capacity_timeout;
}

std::vector<std::string> planner::RacksByFreeCapacity() const {
  std::map<std::string, std::int64_t> free_milli;
  for (const auto& [id, worker] : tracker_.Workers().All())
    free_milli[worker.description.rack] +=
        worker.description.capacity.processors_milli -
        worker.reserved.processors_milli;
  std::vector<std::string> racks;
  racks.reserve(free_milli.size());
  for (const auto& [rack, free] : free_milli)
    racks.push_back(rack);
  std::ranges::sort(racks, [&](const auto& left, const auto& right) {
    return free_milli[left] > free_milli[right];
  });
  return racks;
}

}  // namespace chivecrank::submissions::internal
