#include "internal/submission_table.h"

#include <algorithm>
#include <utility>

#include "internal/crash_attribution.h"

namespace chivecrank::submissions::internal {
namespace {

/// Time from the end of a step's tasks until those of the next step have
/// started: the worker's report, a commit and the start commands.
constexpr std::chrono::milliseconds kStepOverhead{150};

double ProcessorSeconds(const step_request& step,
                        std::chrono::milliseconds run_time) {
  return static_cast<double>(step.demand.processors_milli) / 1000 *
         std::chrono::duration<double>(run_time).count();
}

live_occurrence MakeOccurrence(const submission& request, std::int32_t number) {
  live_occurrence made;
  if (request.repeats.count > 0)
    made.due_since_epoch = request.repeats.first_due_since_epoch +
                           request.repeats.interval * number;
  for (const step_request& step : request.steps) {
    live_step tasks;
    tasks.tasks.resize(static_cast<std::size_t>(std::max(step.task_count, 0)));
    made.steps.push_back(std::move(tasks));
  }
  return made;
}

}  // namespace

std::vector<std::chrono::milliseconds> CriticalPaths(
    const std::vector<step_request>& steps,
    const std::vector<std::chrono::milliseconds>& run_times) {
  std::vector<std::chrono::milliseconds> after(steps.size());
  std::vector<std::chrono::milliseconds> from_start(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    from_start[i] = run_times[i] + after[i];
    for (const std::int32_t earlier : steps[i].after)
      if (earlier >= 0 && static_cast<std::size_t>(earlier) < i) {
        auto& longest_after = after[static_cast<std::size_t>(earlier)];
        longest_after = std::max(longest_after, from_start[i]);
      }
  }
  return from_start;
}

live_submission& submission_table::Add(const submission& accepted) {
  auto& slot = submissions_[accepted.id];
  if (slot)
    return *slot;
  slot = std::make_unique<live_submission>();
  slot->request = accepted;
  const std::int32_t occurrences = std::max(accepted.repeats.count, 1);
  for (std::int32_t number = 0; number < occurrences; ++number)
    slot->occurrences.push_back(MakeOccurrence(accepted, number));
  return *slot;
}

live_submission* submission_table::Find(const std::string& id) {
  const auto found = submissions_.find(id);
  return found == submissions_.end() ? nullptr : found->second.get();
}

task_progress* submission_table::Find(const task_ref& task) {
  live_submission* live = Find(task.submission);
  if (live == nullptr || StepOf(task) == nullptr)
    return nullptr;
  auto& tasks = live->occurrences[static_cast<std::size_t>(task.occurrence)]
                    .steps[static_cast<std::size_t>(task.step)]
                    .tasks;
  return &tasks[static_cast<std::size_t>(task.index)];
}

live_step& submission_table::LiveStepOf(const task_ref& task) {
  return Find(task.submission)
      ->occurrences[static_cast<std::size_t>(task.occurrence)]
      .steps[static_cast<std::size_t>(task.step)];
}

const step_request* submission_table::StepOf(const task_ref& task) const {
  const auto found = submissions_.find(task.submission);
  if (found == submissions_.end())
    return nullptr;
  const live_submission& live = *found->second;
  const bool exists =
      task.occurrence >= 0 &&
      static_cast<std::size_t>(task.occurrence) < live.occurrences.size() &&
      task.step >= 0 &&
      static_cast<std::size_t>(task.step) < live.request.steps.size() &&
      task.index >= 0 &&
      task.index <
          live.request.steps[static_cast<std::size_t>(task.step)].task_count;
  if (!exists)
    return nullptr;
  return &live.request.steps[static_cast<std::size_t>(task.step)];
}

void submission_table::Erase(const std::string& id) {
  submissions_.erase(id);
}

bool submission_table::IsReady(const live_submission& live,
                               std::size_t occurrence,
                               std::size_t step) {
  const auto& steps = live.occurrences[occurrence].steps;
  return std::ranges::all_of(
      live.request.steps[step].after, [&](std::int32_t earlier) {
        return earlier < 0 ||
               static_cast<std::size_t>(earlier) >= steps.size() ||
               steps[static_cast<std::size_t>(earlier)].Done();
      });
}

void submission_table::UpdateForecast(live_submission& live,
                                      const run_time_estimator& estimator,
                                      base::time_point now) {
  live.forecast_at = now;
  const submission& request = live.request;
  for (live_occurrence& occurrence : live.occurrences) {
    std::vector<std::chrono::milliseconds> expected;
    expected.reserve(request.steps.size());
    occurrence.work = 0;
    occurrence.work_left = 0;
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
      const step_request& step = request.steps[i];
      expected.push_back(
          estimator.Expect(request.queue, step, occurrence.steps[i].measured));
      const double work_per_task = ProcessorSeconds(step, expected.back());
      occurrence.work += work_per_task * step.task_count;
      occurrence.work_left +=
          work_per_task * (step.task_count - occurrence.steps[i].done);
    }
    const auto chain = CriticalPaths(request.steps, expected);
    const auto longest = chain.empty() ? std::chrono::milliseconds(0)
                                       : *std::ranges::max_element(chain);
    occurrence.allowed_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            longest * request.policy.stretch) +
        request.policy.target_run_time;
    for (std::chrono::milliseconds& time : expected)
      time += kStepOverhead;
    occurrence.critical_paths = CriticalPaths(request.steps, expected);
  }
}

void submission_table::MarkDone(const task_ref& task) {
  const step_request* step = StepOf(task);
  if (step == nullptr)
    return;
  if (!step->gang)
    return MarkOneDone(task);
  // The end of one member completes the whole gang.
  task_ref member = task;
  for (member.index = 0; member.index < step->task_count; ++member.index)
    MarkOneDone(member);
}

void submission_table::MarkOneDone(const task_ref& task) {
  task_progress* progress = Find(task);
  if (progress->phase == task_phase::kDone)
    return;
  progress->phase = task_phase::kDone;
  progress->checkpoint.clear();
  ++submissions_[task.submission]
        ->occurrences[static_cast<std::size_t>(task.occurrence)]
        .steps[static_cast<std::size_t>(task.step)]
        .done;
  MarkChanged(task);
}

std::vector<task_change> submission_table::TakeChanged() {
  std::vector<task_change> changes;
  changes.reserve(changed_.size());
  for (const task_ref& task : changed_)
    if (const task_progress* progress = Find(task))
      changes.push_back({task, *progress});
  changed_.clear();
  std::ranges::sort(changes, [](const auto& left, const auto& right) {
    return left.task < right.task;
  });
  return changes;
}

std::vector<task_change> submission_table::AllProgress() const {
  std::vector<task_change> changes;
  for (const auto& [id, live] : submissions_) {
    task_ref task{id};
    for (const live_occurrence& occurrence : live->occurrences) {
      task.step = 0;
      for (const live_step& step : occurrence.steps) {
        task.index = 0;
        for (const task_progress& progress : step.tasks) {
          if (progress != task_progress{})
            changes.push_back({task, progress});
          ++task.index;
        }
        ++task.step;
      }
      ++task.occurrence;
    }
  }
  return changes;
}

bool submission_table::IsDone(const live_submission& live) {
  return std::ranges::all_of(live.occurrences, [](const auto& occurrence) {
    return std::ranges::all_of(occurrence.steps, &live_step::Done);
  });
}

bool submission_table::HasFailed(const live_submission& live) {
  const std::int32_t limit = live.request.policy.attempt_limit;
  for (const live_occurrence& occurrence : live.occurrences)
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const bool is_limited = !live.request.steps[i].long_running;
      if (std::ranges::any_of(occurrence.steps[i].tasks,
                              [&](const task_progress& task) {
                                return (is_limited && task.failures >= limit) ||
                                       crash_attribution::CrashesWorkers(task);
                              }))
        return true;
    }
  return false;
}

}  // namespace chivecrank::submissions::internal
