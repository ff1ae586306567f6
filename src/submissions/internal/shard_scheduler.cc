#include "chivecrank/submissions/shard_scheduler.h"

#include <algorithm>
#include <utility>

#include "chivecrank/scheduling/resources.h"
#include "internal/shard_core.h"

namespace chivecrank::submissions {

using internal::active_run;
using internal::live_submission;
using internal::run_phase;
using internal::shard_core;
using internal::worker_entry;

shard_scheduler::shard_scheduler(scheduler_settings settings,
                                 scheduler_event_hook on_event)
    : core_(std::make_unique<shard_core>(settings, std::move(on_event))) {}

shard_scheduler::~shard_scheduler() = default;

void shard_scheduler::Accept(const submission& accepted) {
  core_->book.Submissions().Add(accepted);
}

void shard_scheduler::Restore(const journal_entry& entry) {
  auto& submissions = core_->book.Submissions();
  for (const task_change& change : entry.tasks) {
    task_progress* progress = submissions.Find(change.task);
    if (progress == nullptr)
      continue;
    if (change.progress.phase == task_phase::kDone)
      submissions.MarkDone(change.task);
    live_submission& live = *submissions.Find(change.task.submission);
    if (change.progress.run > 0)
      live.started = true;
    if (change.progress.phase == task_phase::kDone ||
        change.progress.failures > 0 || !change.progress.checkpoint.empty())
      live.began = true;
    *progress = change.progress;
  }
  core_->learned.TakeOver(entry.interference_estimates, core_->book.Images());
}

void shard_scheduler::FinishRestore(base::time_point now,
                                    base::time_point leases_over) {
  auto& book = core_->book;
  book.Submissions().TakeTouched();
  for (const task_change& change : book.Submissions().Everything())
    if (change.progress.phase == task_phase::kAssigned)
      book.Readopt(change.task, now);
  for (auto& [id, worker] : book.Workers().All())
    worker.lease_over = leases_over;
  // Ends whose outcome the owner before did not get to write.
  for (auto& [id, live] : book.Submissions().All()) {
    if (internal::submission_table::IsDone(*live))
      book.Finish(*live, submission_outcome::kCompleted, now);
    else if (internal::submission_table::HasFailed(*live))
      book.Finish(*live, submission_outcome::kFailed, now);
  }
}

void shard_scheduler::Cancel(const std::string& submission,
                             base::time_point now) {
  live_submission* live = core_->book.Submissions().Find(submission);
  if (live == nullptr)
    return;
  core_->book.Finish(*live, submission_outcome::kCancelled, now);
  core_->permits.Erase(submission);
  core_->book.EraseIfOver(submission);
}

void shard_scheduler::SetPolicy(const std::string& queue,
                                const queue_policy& policy) {
  core_->plans.SetPolicy(queue, policy);
}

void shard_scheduler::SetWorkers(
    const std::vector<worker_description>& workers) {
  auto& table = core_->book.Workers();
  for (auto& [id, worker] : table.All())
    worker.listed = false;
  for (const worker_description& description : workers) {
    worker_entry& worker = table.FindOrAdd(description.id);
    worker.description = description;
    worker.listed = true;
  }
  std::erase_if(table.All(), [](const auto& entry) {
    return !entry.second.listed && entry.second.runs.empty();
  });
}

void shard_scheduler::OnLeaseSent(const std::string& worker_id,
                                  base::time_point now) {
  worker_entry& worker = core_->book.Workers().FindOrAdd(worker_id);
  worker.lease_over =
      std::max(worker.lease_over, now + core_->settings.worker_lease +
                                      core_->settings.lease_margin);
}

void shard_scheduler::OnReport(const std::string& worker_id,
                               const worker_report& report,
                               base::time_point requested_at,
                               base::time_point now) {
  worker_entry* worker = core_->book.Workers().Find(worker_id);
  if (worker == nullptr)
    return;
  core_->reports.Process(*worker, report, requested_at, now,
                         core_->last_batch + 1);
}

void shard_scheduler::OnStartOutcome(const start_command& command,
                                     start_outcome answer,
                                     base::time_point now) {
  shard_core& state = *core_;
  if (answer == start_outcome::kFenced)
    state.fenced = true;
  active_run* run = state.FindRun(command.worker, command.task, command.run);
  if (run == nullptr || run->phase != run_phase::kStarting)
    return;
  worker_entry& worker = *state.book.Workers().Find(command.worker);
  if (answer == start_outcome::kStarted) {
    state.book.NoteBegun(command.task);
    run->phase = run_phase::kRunning;
    run->since = now;
    return;
  }
  state.book.Emit({.kind = scheduler_event_kind::kStartRefused,
                   .task = command.task,
                   .worker = command.worker,
                   .run = command.run,
                   .outcome = StartOutcomeName(answer)});
  if (answer == start_outcome::kUnknown) {
    run->phase = run_phase::kUncertain;
    run->since = now;
    return;
  }
  if (answer == start_outcome::kNoCapacity)
    worker.lacks_room = true;
  if (answer == start_outcome::kNoPermit)
    state.permits.Forget(command.task, command.worker);
  else
    shard_core::Pause(worker, state.settings.refused_pause, now);
  state.book.Revert(worker, command.task);
}

void shard_scheduler::OnStopOutcome(const stop_command& command,
                                    bool done,
                                    base::time_point now) {
  active_run* run = core_->FindRun(command.worker, command.task, command.run);
  if (run == nullptr || !done)
    return;
  run->barred = true;
  run->since = now;
}

void shard_scheduler::OnPermitResponse(const permit_request& request,
                                       const std::vector<start_permit>* granted,
                                       base::time_point now) {
  if (granted == nullptr)
    return core_->permits.OnUnanswered(request, now);
  core_->permits.OnGranted(request, *granted);
}

void shard_scheduler::OnThrottleOutcome(const throttle_command& command,
                                        bool done) {
  active_run* run = core_->FindRun(command.worker, command.task, command.run);
  if (run == nullptr || done)
    return;
  run->throttle_percent = active_run::kThrottleUnknown;
  core_->book.Workers().Find(command.worker)->occupied.reset();
}

void shard_scheduler::Plan(base::time_point now,
                           std::chrono::milliseconds since_epoch) {
  core_->book.SetTimeOfDay(since_epoch);
  core_->ExpireLeases(now);
  core_->plans.Plan(now, since_epoch);
}

std::optional<progress_batch> shard_scheduler::TakeBatch() {
  shard_core& state = *core_;
  if (!state.book.HasChanges()) {
    // Nothing to commit: what was seen may be acknowledged at once.
    state.ReleaseAcks(state.last_batch + 1);
    return std::nullopt;
  }
  progress_batch batch;
  batch.number = ++state.last_batch;
  batch.tasks = state.book.Submissions().TakeTouched();
  batch.outcomes = state.book.TakeOutcomes();
  state.in_commit = state.book.TakeDecided();
  state.outcomes_in_commit = batch.outcomes;
  return batch;
}

void shard_scheduler::OnCommitted(std::uint64_t batch) {
  shard_core& state = *core_;
  state.ReleaseAcks(batch);
  for (start_command& command : state.in_commit)
    state.committed.push_back(std::move(command));
  state.in_commit.clear();
  for (const outcome_change& change : state.outcomes_in_commit) {
    state.permits.Erase(change.submission);
    state.book.EraseIfOver(change.submission);
  }
  state.outcomes_in_commit.clear();
}

command_set shard_scheduler::TakeCommands(base::time_point now) {
  shard_core& state = *core_;
  command_set commands;
  for (start_command& command : std::exchange(state.committed, {}))
    if (state.Confirm(command, now))
      commands.starts.push_back(std::move(command));
  commands.stops = state.book.TakeStops();
  commands.permit_requests = state.plans.TakeQuestions();
  state.CollectThrottles(commands);
  return commands;
}

std::int64_t shard_scheduler::AcknowledgedEnd(
    const std::string& worker_id) const {
  const worker_entry* worker =
      std::as_const(core_->book).Workers().Find(worker_id);
  return worker == nullptr ? 0 : worker->committed_end;
}

bool shard_scheduler::HasRuns(const std::string& worker_id) const {
  const worker_entry* worker =
      std::as_const(core_->book).Workers().Find(worker_id);
  return worker != nullptr && !worker->runs.empty();
}

std::uint64_t shard_scheduler::ScoredWorkers() const {
  return core_->plans.Placer().Scored();
}

bool shard_scheduler::IsFenced() const {
  return core_->fenced;
}

journal_entry shard_scheduler::Snapshot() const {
  return {true, core_->book.Submissions().Everything(),
          core_->learned.Learned(core_->book.Images())};
}

std::vector<std::string> shard_scheduler::UnstartedSubmissions() const {
  std::vector<std::string> waiting;
  for (const auto& [id, live] : core_->book.Submissions().All())
    if (!live->began && !live->outcome && live->request.repeats.count == 0)
      waiting.push_back(id);
  return waiting;
}

shard_load shard_scheduler::Load() const {
  shard_load load;
  for (const auto& [id, worker] : core_->book.Workers().All()) {
    if (!worker.listed || worker.description.draining)
      continue;
    load.capacity =
        scheduling::Plus(load.capacity, worker.description.capacity);
    load.reserved = scheduling::Plus(load.reserved, worker.reserved);
  }
  return load;
}

std::vector<shard_scheduler::unplaced_submission>
shard_scheduler::UnplacedSubmissions(base::time_point now,
                                     std::chrono::milliseconds patience) const {
  std::vector<unplaced_submission> stranded;
  for (const auto& [id, live] : core_->book.Submissions().All()) {
    if (live->started || live->outcome || live->moving ||
        !live->no_room_since || now - *live->no_room_since < patience)
      continue;
    const std::int64_t reserved = submissions::ReservedMilli(live->request);
    if (reserved > 0)
      stranded.push_back({id, reserved});
  }
  return stranded;
}

bool shard_scheduler::BeginMove(const std::string& submission) {
  live_submission* live = core_->book.Submissions().Find(submission);
  if (live == nullptr || live->started || live->outcome)
    return false;
  live->moving = true;
  return true;
}

void shard_scheduler::FinishMove(const std::string& submission) {
  live_submission* live = core_->book.Submissions().Find(submission);
  if (live != nullptr && live->moving)
    core_->book.Submissions().Erase(submission);
}

}  // namespace chivecrank::submissions
