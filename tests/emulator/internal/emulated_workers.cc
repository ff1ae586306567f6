#include "chivecrank/emulator/emulated_workers.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numbers>
#include <utility>

#include "chivecrank/scheduling/resources.h"
#include "internal/emulated_worker_state.h"

namespace chivecrank::emulator {
namespace {

/// A scheduled task may start this much before its time.
constexpr std::chrono::milliseconds kMaxEarlyStart{250};
constexpr std::chrono::milliseconds kTick{25};
constexpr std::chrono::milliseconds kStopTakes{200};
/// From then on every instance has to know that a worker leaves.
constexpr std::chrono::milliseconds kLeavingIsKnown{2000};
constexpr std::chrono::milliseconds kStartUp{400};
/// From then on every instance has to know what a worker's capacity is.
constexpr std::chrono::milliseconds kCapacityIsKnown{4100};
/// From the start of a deadly task to the crash of its worker.
constexpr std::chrono::milliseconds kDeadlyDelay{10};
constexpr double kIdleTailOfTarget = 1 / 4.5;
constexpr double kServiceLoad = 0.45;
constexpr double kSaturated = 0.97;

/// What a worker reserves for a run of the step.
coordination::resources ReservationFor(const submissions::step_request& step) {
  coordination::resources reserved = step.demand;
  if (step.best_effort)
    reserved.processors_milli = 0;
  return reserved;
}

}  // namespace

std::string NameOf(const submissions::task_ref& task) {
  return absl::StrFormat("%s.%d.%d.%d", task.submission, task.occurrence,
                         task.step, task.index);
}

emulated_workers::emulated_workers(reactor::event_loop& loop,
                                   std::uint64_t seed,
                                   truth_hook truth,
                                   permit_hook has_permit,
                                   crash_hook crash,
                                   pressure_hook pressure,
                                   load_swing swing)
    : loop_(loop),
      random_(seed),
      truth_(std::move(truth)),
      has_permit_(std::move(has_permit)),
      crash_(std::move(crash)),
      pressure_(std::move(pressure)),
      swing_(swing) {
  loop_.After(kTick, [this] { Tick(); });
}

emulated_workers::~emulated_workers() = default;

void emulated_workers::Add(submissions::worker_description description) {
  auto made = std::make_unique<worker_state>();
  const std::string id = description.id;
  made->description = std::move(description);
  workers_[id] = std::move(made);
}

worker_faults& emulated_workers::FaultsOf(const std::string& id) {
  return workers_.at(id)->faults;
}

void emulated_workers::Crash(const std::string& id) {
  worker_state& worker = *workers_.at(id);
  counts_.lost += worker.runs.size();
  worker.faults.crashed = true;
  worker.runs.clear();
  worker.barred.clear();
  worker.ended.clear();
  worker.last_end = 0;
  worker.fence = 0;
  worker.lease_end = {};
  // Its connections close.
  for (const auto& answer : std::exchange(worker.held_looks, {}))
    answer();
}

bool emulated_workers::IsCrashed(const std::string& id) const {
  return workers_.at(id)->faults.crashed;
}

void emulated_workers::SetCapacity(const std::string& id,
                                   const coordination::resources& capacity) {
  worker_state& worker = *workers_.at(id);
  worker.earlier_capacity = worker.description.capacity;
  worker.resized_at = loop_.Now();
  worker.description.capacity = capacity;
}

void emulated_workers::Restart(const std::string& id, std::int64_t born_ms) {
  worker_state& worker = *workers_.at(id);
  worker.faults = {};
  worker.leaves_since.reset();
  worker.description.draining = false;
  worker.description.started_at_ms = born_ms;
}

void emulated_workers::Replace(const std::string& id,
                               const std::string& successor,
                               std::int64_t born_ms) {
  worker_state& worker = *workers_.at(id);
  worker.replaced = true;
  submissions::worker_description description = worker.description;
  description.id = successor;
  description.started_at_ms = born_ms;
  description.draining = false;
  Add(std::move(description));
}

bool emulated_workers::IsReplaced(const std::string& id) const {
  return workers_.at(id)->replaced;
}

void emulated_workers::Leaves(
    const std::string& id,
    std::optional<std::chrono::milliseconds> stays_at_least) {
  worker_state& worker = *workers_.at(id);
  worker.leaves_since = loop_.Now();
  worker.description.draining = true;
  worker.description.stays_at_least = stays_at_least;
}

void emulated_workers::SetDrained(const std::string& failure_domain,
                                  bool drained) {
  if (drained)
    drained_.try_emplace(failure_domain, loop_.Now());
  else
    drained_.erase(failure_domain);
}

bool emulated_workers::IsDrained(const worker_state& worker) const {
  return drained_.contains(worker.description.failure_domain);
}

std::vector<std::string> emulated_workers::Ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_)
    if (!worker->replaced)
      ids.push_back(id);
  return ids;
}

const submissions::worker_description& emulated_workers::DescriptionOf(
    const std::string& id) const {
  return workers_.at(id)->description;
}

void emulated_workers::SetService(const std::string& id,
                                  const std::string& service) {
  workers_.at(id)->description.service = service;
}

void emulated_workers::Follow(const std::string& id, std::int64_t fence) {
  workers_.at(id)->fence = fence;
}

void emulated_workers::Know(const submissions::submission& accepted) {
  known_[accepted.id] = accepted;
}

void emulated_workers::Over(const std::string& submission) {
  over_.try_emplace(submission, loop_.Now());
}

std::size_t emulated_workers::Running() const {
  std::size_t running = 0;
  for (const auto& [id, worker] : workers_)
    running += worker->runs.size();
  return running;
}

std::size_t emulated_workers::RunningOf(const std::string& submission) const {
  std::size_t running = 0;
  for (const auto& [id, worker] : workers_)
    for (const auto& [task, run] : worker->runs)
      if (task.submission == submission)
        ++running;
  return running;
}

bool emulated_workers::IsRunning(const submissions::task_ref& task) const {
  return std::ranges::any_of(workers_, [&](const auto& entry) {
    return entry.second->runs.contains(task);
  });
}

bool emulated_workers::HasBegun(const submissions::task_ref& task) const {
  return begun_.contains(task);
}

bool emulated_workers::TakesRuns(const worker_state& worker) const {
  const worker_faults& faults = worker.faults;
  const bool is_sound =
      !faults.crashed && !faults.cut_off && !faults.fails_all && !faults.hangs;
  return is_sound && !worker.replaced && !worker.leaves_since &&
         !IsDrained(worker);
}

coordination::resources emulated_workers::ReservedOn(
    const worker_state& worker) {
  coordination::resources reserved;
  for (const auto& [task, run] : worker.runs)
    reserved = scheduling::Plus(reserved, run.reserved);
  return reserved;
}

std::size_t emulated_workers::RoomOn(const worker_state& worker,
                                     const submissions::task_ref& task,
                                     const submissions::step_request& step) {
  std::size_t most = std::numeric_limits<std::size_t>::max();
  if (step.max_per_worker > 0) {
    const auto limit = static_cast<std::size_t>(step.max_per_worker);
    const auto present = static_cast<std::size_t>(
        std::ranges::count_if(worker.runs, [&](const auto& entry) {
          return submissions::FirstOfStep(entry.first) ==
                 submissions::FirstOfStep(task);
        }));
    most = limit - std::min(limit, present);
  }
  const coordination::resources demand = ReservationFor(step);
  coordination::resources reserved = ReservedOn(worker);
  std::size_t room = 0;
  while (room < most &&
         scheduling::Fits(demand, reserved, worker.description.capacity)) {
    reserved = scheduling::Plus(reserved, demand);
    ++room;
  }
  return room;
}

std::size_t emulated_workers::RoomFor(const submissions::task_ref& task) const {
  const submissions::step_request& step =
      known_.at(task.submission).steps.at(static_cast<std::size_t>(task.step));
  std::size_t room = 0;
  for (const auto& [id, worker] : workers_)
    if (TakesRuns(*worker))
      room += RoomOn(*worker, task, step);
  return room;
}

void emulated_workers::Tick() {
  for (auto& [id, worker] : workers_)
    if (!worker->faults.crashed)
      Advance(*worker, std::chrono::duration<double>(kTick).count());
  loop_.After(kTick, [this] { Tick(); });
}

void emulated_workers::Advance(worker_state& worker, double seconds) {
  const base::time_point now = loop_.Now();
  std::vector<std::pair<submissions::task_ref, submissions::run_outcome>> ends;
  for (auto& [task, run] : worker.runs) {
    if (now >= worker.lease_end) {
      ends.emplace_back(task, submissions::run_outcome::kLeaseExpired);
      continue;
    }
    if (run.stopping && now >= run.stop_at) {
      ends.emplace_back(task, submissions::run_outcome::kStopped);
      continue;
    }
    if (worker.faults.fails_all || run.poisoned) {
      ends.emplace_back(task, submissions::run_outcome::kFailed);
      continue;
    }
    run.used_milli = worker.faults.hangs
                         ? 0
                         : run.processors_milli * run.percent_limit / 100;
    if (run.lasting) {
      const double tail_ratio =
          kIdleTailOfTarget /
          (1 - std::min(PressureOn(worker, task, run), kSaturated));
      if (run.target.count() > 0 && tail_ratio > 1)
        over_bound_seconds_ += seconds;
      continue;
    }
    if (worker.faults.hangs)
      continue;
    const double speed = run.percent_limit / 100.0 / worker.faults.slowness;
    const double whole =
        std::max(std::chrono::duration<double>(run.work).count(), 0.001);
    run.progress += seconds * speed / whole;
    if (run.progress >= 1)
      ends.emplace_back(task, submissions::run_outcome::kDone);
  }
  for (const auto& [task, how] : ends)
    EndRun(worker, task, how);
}

void emulated_workers::EndRun(worker_state& worker,
                              const submissions::task_ref& task,
                              submissions::run_outcome how) {
  const run_state run = worker.runs.at(task);
  worker.runs.erase(task);
  worker.barred[task] = std::max(worker.barred[task], run.run);
  submissions::reported_end end;
  end.number = ++worker.last_end;
  end.task = task;
  end.run = run.run;
  end.outcome = how;
  if (run.progress > 0.2)
    end.checkpoint = std::to_string(static_cast<int>(run.progress * 1000));
  worker.ended.push_back(end);
  switch (how) {
    case submissions::run_outcome::kDone:
      ++counts_.done;
      done_.insert(task);
      break;
    case submissions::run_outcome::kFailed:
      ++counts_.failed;
      attempts_.OnFailed(task);
      break;
    case submissions::run_outcome::kLeaseExpired:
      ++counts_.lapsed;
      break;
    default:
      ++counts_.stopped;
  }
  for (const auto& answer : std::exchange(worker.held_looks, {}))
    answer();
}

submissions::start_outcome emulated_workers::Start(
    worker_state& worker,
    const submissions::start_command& command,
    const submissions::command_header& terms,
    base::time_point given_at,
    base::time_point lease_end) {
  using submissions::start_outcome;
  if (terms.fence < worker.fence)
    return start_outcome::kFenced;
  worker.fence = terms.fence;
  const auto present = worker.runs.find(command.task);
  if (present != worker.runs.end() && present->second.run == command.run)
    return start_outcome::kStarted;
  worker.lease_end = std::max(worker.lease_end, lease_end);
  const auto barred = worker.barred.find(command.task);
  if (barred != worker.barred.end() && barred->second >= command.run)
    return start_outcome::kSuperseded;
  if (worker.lease_end <= loop_.Now())
    return start_outcome::kLeaseExpired;
  const auto known = known_.find(command.task.submission);
  if (known == known_.end()) {
    Break("started what nobody handed in", command.task);
    return start_outcome::kRejected;
  }
  if (known->second.policy.permits && !has_permit_(command)) {
    ++counts_.no_permit;
    return start_outcome::kNoPermit;
  }
  const submissions::step_request& step =
      known->second.steps.at(static_cast<std::size_t>(command.task.step));
  run_state run;
  run.run = command.run;
  run.reserved = ReservationFor(step);
  if (!TakesStart(worker, command.task, run.reserved)) {
    ++counts_.no_room;
    return start_outcome::kNoCapacity;
  }
  CheckStart(command, given_at);
  const task_truth truth = truth_(command.task);
  run.processors_milli = step.demand.processors_milli;
  run.lasting = step.long_running;
  run.fills = step.best_effort;
  run.image = step.image;
  run.target = step.latency_target;
  run.work = truth.work;
  run.poisoned = truth.poisoned;
  run.started = loop_.Now();
  if (step.checkpoints && !command.checkpoint.empty())
    run.progress = std::stoi(command.checkpoint) / 1000.0;
  worker.runs[command.task] = run;
  if (truth.deadly)
    CrashLater(command.worker, command.task);
  begun_.insert(command.task);
  ++counts_.starts;
  return start_outcome::kStarted;
}

bool emulated_workers::TakesStart(const worker_state& worker,
                                  const submissions::task_ref& task,
                                  const coordination::resources& needed) {
  const coordination::resources reserved = ReservedOn(worker);
  if (scheduling::Fits(needed, reserved, worker.description.capacity))
    return true;
  if (guards_capacity_)
    return false;
  const bool is_known =
      loop_.Now() - worker.resized_at > kCapacityIsKnown ||
      !scheduling::Fits(needed, reserved, worker.earlier_capacity);
  if (is_known)
    Break("started beyond the worker's capacity", task);
  return true;
}

void emulated_workers::CrashLater(const std::string& worker,
                                  const submissions::task_ref& task) {
  loop_.After(kDeadlyDelay, [this, worker, task] {
    const auto& runs = workers_.at(worker)->runs;
    if (!runs.contains(task))
      return;
    for (const auto& [lost, run] : runs)
      if (truth_(lost).deadly)
        attempts_.OnCrash(lost);
    crash_(worker);
  });
}

void emulated_workers::ShownAsFailed(const std::string& submission) {
  const std::int32_t limit = known_.at(submission).policy.attempt_limit;
  if (!attempts_.MayHaveFailed(submission, limit))
    Break("shown as failed though it could be done", {submission});
}

bool emulated_workers::Stop(worker_state& worker,
                            const submissions::stop_command& command) {
  const auto found = worker.runs.find(command.task);
  if (found == worker.runs.end() || found->second.run > command.run) {
    worker.barred[command.task] =
        std::max(worker.barred[command.task], command.run);
    return true;
  }
  if (!found->second.stopping) {
    found->second.stopping = true;
    found->second.stop_at = loop_.Now() + kStopTakes;
  }
  return true;
}

base::result<submissions::worker_report> emulated_workers::Report(
    worker_state& worker) {
  submissions::worker_report report;
  report.started_at_ms = worker.description.started_at_ms;
  report.ended = worker.ended;
  for (const auto& [task, run] : worker.runs) {
    submissions::reported_run listed;
    listed.task = task;
    listed.run = run.run;
    listed.percent = static_cast<std::int32_t>(run.progress * 100);
    if (run.lasting)
      listed.percent = loop_.Now() - run.started >= kStartUp ? 100 : 50;
    listed.measurement = run.used_milli;
    if (run.target.count() > 0)
      listed.measurement = ReadTail(worker, task, run);
    if (run.progress > 0.2)
      listed.checkpoint = std::to_string(static_cast<int>(run.progress * 1000));
    report.running.push_back(std::move(listed));
  }
  return report;
}

std::int64_t emulated_workers::ReadTail(const worker_state& worker,
                                        const submissions::task_ref& task,
                                        const run_state& service) {
  double pressure = PressureOn(worker, task, service);
  if (swing_.noise > 0)
    pressure += std::normal_distribution<double>(0, swing_.noise)(random_);
  pressure = std::clamp(pressure, 0.0, kSaturated);
  return static_cast<std::int64_t>(static_cast<double>(service.target.count()) *
                                   kIdleTailOfTarget / (1 - pressure));
}

void emulated_workers::CheckStart(const submissions::start_command& command,
                                  base::time_point given_at) {
  const submissions::task_ref& task = command.task;
  for (const auto& [id, worker] : workers_)
    if (!worker->faults.crashed && worker->runs.contains(task))
      Break("ran twice at the same time", task);
  const auto& leaves_since = workers_.at(command.worker)->leaves_since;
  if (leaves_since && loop_.Now() - *leaves_since > kLeavingIsKnown)
    Break("started on a worker that leaves", task);
  const auto drained =
      drained_.find(workers_.at(command.worker)->description.failure_domain);
  if (drained != drained_.end() && given_at - drained->second > kDrainInForce)
    Break("started in a drained failure domain", task);
  if (!attempts_.OnStart(task))
    Break("started again after it had crashed its workers", task);
  if (acknowledged_done_.contains(task))
    Break("started after it was done", task);
  const auto over = over_.find(task.submission);
  if (over != over_.end() &&
      loop_.Now() - over->second > std::chrono::seconds(3))
    Break("started after its submission was over", task);
  const submissions::submission& known = known_.at(task.submission);
  const base::duration due = known.repeats.first_due_since_epoch +
                             known.repeats.interval * task.occurrence;
  if (loop_.Now().time_since_epoch() + kMaxEarlyStart < due)
    Break("started before its time", task);
  for (const std::int32_t earlier :
       known.steps.at(static_cast<std::size_t>(task.step)).after) {
    submissions::task_ref before{task.submission, task.occurrence, earlier};
    const auto count =
        known.steps.at(static_cast<std::size_t>(earlier)).task_count;
    for (before.index = 0; before.index < count; ++before.index)
      if (!done_.contains(before))
        return Break("started before an earlier step was done", task);
  }
}

void emulated_workers::Break(std::string_view name,
                             const submissions::task_ref& task) {
  broken_.push_back({std::string(name), NameOf(task), loop_.Now()});
}

double emulated_workers::LoadOf(const submissions::task_ref& service) const {
  const double phase =
      static_cast<double>(std::hash<std::string>{}(service.submission) % 1000) /
      1000;
  const double periods =
      std::chrono::duration<double>(loop_.Now().time_since_epoch()) /
      std::chrono::duration<double>(swing_.period);
  const double swing =
      std::sin(2 * std::numbers::pi * (periods + phase)) * swing_.share;
  return kServiceLoad * (1 + swing);
}

double emulated_workers::PressureOn(const worker_state& worker,
                                    const submissions::task_ref& service_task,
                                    const run_state& service) const {
  double pressure = LoadOf(service_task);
  for (const auto& [task, run] : worker.runs)
    if (run.fills)
      pressure += pressure_(service.image, run.image) *
                  static_cast<double>(run.used_milli) /
                  static_cast<double>(std::max<std::int64_t>(
                      worker.description.capacity.processors_milli, 1));
  return pressure;
}

}  // namespace chivecrank::emulator
