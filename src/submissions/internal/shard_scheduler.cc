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

namespace {

constexpr std::int64_t kMilliPerCore = 1000;
/// Larger pieces of free capacity count as pieces of this size.
constexpr std::size_t kMaxFreeCores = 64;

std::size_t FreeCores(const worker_entry& worker) {
  const std::int64_t free = worker.description.capacity.processors_milli -
                            worker.reserved.processors_milli;
  const std::int64_t cores = std::max<std::int64_t>(0, free) / kMilliPerCore;
  return std::min(static_cast<std::size_t>(cores), kMaxFreeCores);
}

}  // namespace

shard_scheduler::shard_scheduler(scheduler_settings settings,
                                 scheduler_event_hook on_event)
    : core_(std::make_unique<shard_core>(settings, std::move(on_event))) {}

shard_scheduler::~shard_scheduler() = default;

void shard_scheduler::Accept(const submission& accepted) {
  core_->tracker.Submissions().Add(accepted);
}

void shard_scheduler::Restore(const journal_entry& entry) {
  auto& submissions = core_->tracker.Submissions();
  for (const task_change& change : entry.tasks) {
    task_progress* progress = submissions.Find(change.task);
    if (progress == nullptr)
      continue;
    if (change.progress.phase == task_phase::kDone)
      submissions.MarkDone(change.task);
    live_submission& live = *submissions.Find(change.task.submission);
    if (change.progress.run > 0)
      live.any_task_assigned = true;
    if (change.progress.phase == task_phase::kDone ||
        change.progress.failures > 0 || !change.progress.checkpoint.empty())
      live.run_reported = true;
    *progress = change.progress;
  }
  core_->interference.Import(entry.interference_estimates,
                             core_->tracker.Images());
  for (const worker_record& record : entry.workers)
    core_->recorder.Restore(record);
}

void shard_scheduler::FinishRestore(base::time_point now,
                                    base::time_point acquired_at,
                                    std::chrono::milliseconds longest_lease) {
  auto& tracker = core_->tracker;
  tracker.Submissions().TakeChanged();
  for (const task_change& change : tracker.Submissions().AllProgress())
    if (change.progress.phase == task_phase::kAssigned)
      tracker.RestoreRun(change.task, now);
  core_->recorder.FinishRestore(acquired_at, longest_lease, now);
  core_->crashes.Begin(now);
  // The previous owner may have stopped before it recorded these outcomes.
  for (auto& [id, live] : tracker.Submissions().All()) {
    if (internal::submission_table::IsDone(*live))
      tracker.Finish(*live, submission_outcome::kCompleted, now);
    else if (internal::submission_table::HasFailed(*live))
      tracker.Finish(*live, submission_outcome::kFailed, now);
  }
}

lease_expiries shard_scheduler::LeaseExpiries() const {
  lease_expiries expiries;
  for (const auto& [id, worker] : core_->tracker.Workers().All())
    expiries[id] = worker.lease.Expiry();
  return expiries;
}

void shard_scheduler::RestrictLeases(const lease_expiries& known) {
  for (auto& [id, worker] : core_->tracker.Workers().All())
    if (const auto found = known.find(id); found != known.end())
      worker.lease.Restrict(found->second, internal::lease_basis::kOwnMemory);
}

void shard_scheduler::RestrictEarlierLeases(base::time_point latest_end) {
  for (auto& [id, worker] : core_->tracker.Workers().All())
    if (worker.lease.Basis() == internal::lease_basis::kEarlierOwner)
      worker.lease.Restrict(latest_end, internal::lease_basis::kWitnesses);
}

void shard_scheduler::Cancel(const std::string& submission,
                             base::time_point now) {
  live_submission* live = core_->tracker.Submissions().Find(submission);
  if (live == nullptr)
    return;
  core_->tracker.Finish(*live, submission_outcome::kCancelled, now);
  core_->permits.Erase(submission);
  core_->tracker.EraseIfFinished(submission);
}

void shard_scheduler::SetPolicy(const std::string& queue,
                                const queue_policy& policy) {
  core_->run_planner.SetPolicy(queue, policy);
}

void shard_scheduler::SetWorkers(
    const std::vector<worker_description>& workers) {
  auto& table = core_->tracker.Workers();
  for (auto& [id, worker] : table.All())
    worker.listed = false;
  for (const worker_description& description : workers) {
    worker_entry& worker = table.FindOrAdd(description.id);
    worker.description = description;
    worker.listed = true;
    core_->sizes.Add(description.service, description.capacity);
  }
  core_->drains.MarkWorkers();
  std::erase_if(table.All(), [](const auto& entry) {
    // A recorded bound has to be released first.
    return !entry.second.listed && entry.second.runs.empty() &&
           internal::worker_recorder::MayRenewLease(entry.second);
  });
}

void shard_scheduler::SetDrainedDomains(const std::set<std::string>& domains,
                                        base::time_point now) {
  core_->drains.Set(domains, now);
}

void shard_scheduler::ConfirmDrains(base::time_point as_of) {
  core_->drains.Confirm(as_of);
}

std::vector<domain_drain> shard_scheduler::Drains() const {
  return core_->drains.All();
}

bool shard_scheduler::MayEarlierOwnersRenew() const {
  return std::ranges::any_of(
      core_->tracker.Workers().All(), [](const auto& entry) {
        const worker_entry& worker = entry.second;
        return !worker.runs.empty() && !worker.reported &&
               worker.lease.Basis() == internal::lease_basis::kEarlierOwner;
      });
}

void shard_scheduler::OnLeaseSent(const std::string& worker_id,
                                  base::time_point now) {
  worker_entry& worker = core_->tracker.Workers().FindOrAdd(worker_id);
  worker.lease.Extend(now + core_->settings.LongestLease(),
                      internal::lease_basis::kOwnLease);
}

void shard_scheduler::OnReport(const std::string& worker_id,
                               const worker_report& report,
                               base::time_point requested_at,
                               base::time_point now) {
  worker_entry* worker = core_->tracker.Workers().Find(worker_id);
  if (worker == nullptr)
    return;
  core_->reports.Process(*worker, report, requested_at, now,
                         core_->last_batch + 1);
}

void shard_scheduler::OnPollUnanswered(const std::string& worker_id,
                                       base::time_point now) {
  worker_entry* worker = core_->tracker.Workers().Find(worker_id);
  if (worker == nullptr)
    return;
  if (worker->description.draining && !worker->silent_since)
    core_->tracker.ReportLeftBehind(*worker);
  if (core_->crashes.OnSilent(*worker, now))
    core_->tracker.MarkDoubted(*worker);
}

void shard_scheduler::OnWorkerReplaced(const std::string& worker_id,
                                       base::time_point requested_at,
                                       base::time_point now) {
  worker_entry* worker = core_->tracker.Workers().Find(worker_id);
  if (worker != nullptr)
    core_->MarkEnded(*worker, requested_at, now);
}

void shard_scheduler::OnStartOutcome(const start_command& command,
                                     start_outcome outcome,
                                     base::time_point now) {
  shard_core& state = *core_;
  active_run* run = state.FindRun(command.worker, command.task, command.run);
  if (run == nullptr || run->phase != run_phase::kStarting)
    return;
  worker_entry& worker = *state.tracker.Workers().Find(command.worker);
  if (outcome == start_outcome::kStarted) {
    state.tracker.MarkReported(command.task);
    run->start_confirmed = true;
    run->phase = run_phase::kRunning;
    run->phase_since = now;
    return;
  }
  state.tracker.Emit({.kind = scheduler_event_kind::kStartRefused,
                      .task = command.task,
                      .worker = command.worker,
                      .run = command.run,
                      .outcome = StartOutcomeName(outcome)});
  if (outcome == start_outcome::kUnknown) {
    run->phase = run_phase::kUncertain;
    run->phase_since = now;
    return;
  }
  if (outcome == start_outcome::kNoCapacity)
    worker.lacks_capacity = true;
  if (outcome == start_outcome::kNoPermit)
    state.permits.Forget(command.task, command.worker);
  else
    shard_core::AvoidFor(worker, state.settings.rejection_backoff, now);
  state.tracker.Revert(worker, command.task);
}

void shard_scheduler::OnStopOutcome(const stop_command& command,
                                    bool confirmed,
                                    base::time_point now) {
  active_run* run = core_->FindRun(command.worker, command.task, command.run);
  if (run == nullptr || !confirmed)
    return;
  run->stop_confirmed = true;
  run->phase_since = now;
}

void shard_scheduler::OnPermitResponse(const permit_request& request,
                                       const std::vector<start_permit>* granted,
                                       base::time_point now) {
  if (granted == nullptr)
    return core_->permits.OnRequestFailed(request, now);
  core_->permits.OnGranted(request, *granted);
}

void shard_scheduler::OnThrottleOutcome(const throttle_command& command,
                                        bool confirmed) {
  active_run* run = core_->FindRun(command.worker, command.task, command.run);
  if (run == nullptr || confirmed)
    return;
  run->throttle_percent = active_run::kThrottleUnknown;
  worker_entry& worker = *core_->tracker.Workers().Find(command.worker);
  worker.may_have_throttled = true;
  worker.cached_occupancy.reset();
}

void shard_scheduler::Plan(base::time_point now,
                           std::chrono::milliseconds since_epoch) {
  core_->tracker.SetTimeOfDay(since_epoch);
  core_->ExpireLeases(now);
  core_->run_planner.Plan(now, since_epoch);
  core_->recorder.Update(now);
}

std::optional<progress_batch> shard_scheduler::TakeBatch() {
  shard_core& state = *core_;
  if (!state.tracker.HasChanges() && !state.recorder.HasDue()) {
    // Nothing to commit: processed ends may be acknowledged at once.
    state.ReleaseAcks(state.last_batch + 1);
    return std::nullopt;
  }
  progress_batch batch;
  batch.number = ++state.last_batch;
  batch.tasks = state.tracker.Submissions().TakeChanged();
  batch.outcomes = state.tracker.TakeOutcomes();
  batch.workers = state.recorder.TakeDue(batch.number);
  state.starts_in_commit = state.tracker.TakeUncommittedStarts();
  state.outcomes_in_commit = batch.outcomes;
  return batch;
}

void shard_scheduler::OnCommitted(std::uint64_t batch) {
  shard_core& state = *core_;
  state.ReleaseAcks(batch);
  state.recorder.OnCommitted(batch);
  for (start_command& command : state.starts_in_commit)
    state.committed_starts.push_back(std::move(command));
  state.starts_in_commit.clear();
  for (const outcome_change& change : state.outcomes_in_commit) {
    state.permits.Erase(change.submission);
    state.tracker.EraseIfFinished(change.submission);
  }
  state.outcomes_in_commit.clear();
}

command_set shard_scheduler::TakeCommands(base::time_point now) {
  shard_core& state = *core_;
  command_set commands;
  // Starts wait while a domain may have been drained unseen.
  if (state.drains.IsCurrent(now))
    for (start_command& command : std::exchange(state.committed_starts, {}))
      if (state.ConfirmStart(command, now))
        commands.starts.push_back(std::move(command));
  commands.stops = state.tracker.TakeStops();
  commands.permit_requests = state.run_planner.TakePermitRequests();
  state.CollectThrottles(commands);
  return commands;
}

std::int64_t shard_scheduler::AcknowledgedEnd(
    const std::string& worker_id) const {
  const worker_entry* worker =
      std::as_const(core_->tracker).Workers().Find(worker_id);
  // After a poll without an answer, another incarnation may answer the next
  // one. It would forget ends of its own up to that number.
  if (worker == nullptr || worker->silent_since)
    return 0;
  return worker->committed_end;
}

bool shard_scheduler::MayRenewLease(const std::string& worker_id) const {
  const worker_entry* worker =
      std::as_const(core_->tracker).Workers().Find(worker_id);
  return worker == nullptr || internal::worker_recorder::MayRenewLease(*worker);
}

bool shard_scheduler::HasRuns(const std::string& worker_id) const {
  const worker_entry* worker =
      std::as_const(core_->tracker).Workers().Find(worker_id);
  return worker != nullptr && !worker->runs.empty();
}

bool shard_scheduler::HasTrial(const std::string& worker_id) const {
  const worker_entry* worker =
      std::as_const(core_->tracker).Workers().Find(worker_id);
  return worker != nullptr && worker->trials > 0;
}

awaited_runs shard_scheduler::AwaitedRuns(base::time_point now) const {
  awaited_runs awaited;
  for (const auto& [id, worker] : core_->tracker.Workers().All()) {
    const bool answers = worker.reported && now - worker.reported_at <=
                                                core_->settings.max_report_age;
    if (worker.runs.empty() || answers)
      continue;
    ++awaited.workers;
    awaited.runs += worker.runs.size();
    awaited.longest_wait =
        std::max(awaited.longest_wait,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     worker.lease.Expiry() - now));
  }
  return awaited;
}

std::vector<worker_description> shard_scheduler::WorkersWithRuns() const {
  std::vector<worker_description> workers;
  for (const auto& [id, worker] : core_->tracker.Workers().All())
    if (!worker.runs.empty())
      workers.push_back(worker.description);
  return workers;
}

std::uint64_t shard_scheduler::ScoredWorkers() const {
  return core_->run_planner.Placer().ScoredWorkers();
}

journal_entry shard_scheduler::Snapshot() const {
  return {true, core_->tracker.Submissions().AllProgress(),
          core_->interference.Estimates(core_->tracker.Images()),
          core_->recorder.All()};
}

std::vector<std::string> shard_scheduler::UnstartedSubmissions() const {
  std::vector<std::string> waiting;
  for (const auto& [id, live] : core_->tracker.Submissions().All())
    if (!live->run_reported && !live->outcome &&
        live->request.repeats.count == 0)
      waiting.push_back(id);
  return waiting;
}

const worker_sizes& shard_scheduler::Sizes() const {
  return core_->sizes;
}

void shard_scheduler::AddSizes(const worker_sizes& known) {
  core_->sizes.Add(known);
}

shard_load shard_scheduler::Load() const {
  shard_load load;
  load.workers_by_free_cores.resize(kMaxFreeCores + 1);
  for (const auto& [id, worker] : core_->tracker.Workers().All()) {
    if (!worker.IsOpen())
      continue;
    load.capacity =
        scheduling::Plus(load.capacity, worker.description.capacity);
    load.reserved = scheduling::Plus(load.reserved, worker.reserved);
    ++load.workers_by_free_cores[FreeCores(worker)];
  }
  return load;
}

std::vector<const submission*> shard_scheduler::UnplacedSubmissions(
    base::time_point now,
    const std::function<std::chrono::milliseconds(const submission&)>& min_wait)
    const {
  std::vector<const submission*> stranded;
  for (const auto& [id, live] : core_->tracker.Submissions().All()) {
    if (live->any_task_assigned || live->outcome || live->moving ||
        !live->no_capacity_since ||
        now - *live->no_capacity_since < min_wait(live->request))
      continue;
    if (submissions::ReservedMilli(live->request) > 0)
      stranded.push_back(&live->request);
  }
  return stranded;
}

bool shard_scheduler::BeginMove(const std::string& submission) {
  live_submission* live = core_->tracker.Submissions().Find(submission);
  if (live == nullptr || live->any_task_assigned || live->outcome)
    return false;
  live->moving = true;
  return true;
}

void shard_scheduler::FinishMove(const std::string& submission) {
  live_submission* live = core_->tracker.Submissions().Find(submission);
  if (live != nullptr && live->moving)
    core_->tracker.Submissions().Erase(submission);
}

}  // namespace chivecrank::submissions
