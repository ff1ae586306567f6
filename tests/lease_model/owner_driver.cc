#include "owner_driver.h"

#include <algorithm>
#include <utility>

namespace chivecrank::lease_model {

using submissions::shard_scheduler;
using submissions::start_outcome;

namespace {

/// Nothing in the model depends on the time of day.
constexpr std::chrono::milliseconds kSinceEpoch{1'000'000};
constexpr coordination::resources kCapacity{1000, 1000, 0};

submissions::submission Request() {
  submissions::step_request step;
  step.demand = kCapacity;
  step.estimate = std::chrono::hours(1);
  submissions::submission request;
  request.id = "a";
  request.queue = "queue";
  request.policy = {"service", 0, 100, 2, std::chrono::hours(1)};
  request.steps = {step};
  return request;
}

std::vector<submissions::worker_description> Listed(const model_state& state) {
  std::vector<submissions::worker_description> listed;
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    if (!state.workers[worker].IsListed())
      continue;
    submissions::worker_description description;
    description.id = WorkerId(worker);
    description.service = "service";
    description.address = {"10.0.0.1", static_cast<std::uint16_t>(1 + worker)};
    description.capacity = kCapacity;
    description.started_at_ms = 1;
    listed.push_back(description);
  }
  return listed;
}

std::size_t WorkerNumber(const std::string& id) {
  return id == WorkerId(0) ? 0 : 1;
}

}  // namespace

submissions::scheduler_settings Settings(planted_fault fault) {
  submissions::scheduler_settings settings;
  settings.worker_lease = kWorkerLease;
  if (fault == planted_fault::kAnswerShortensNothing)
    settings.worker_lease += kOwnerLeaseTerm + kOutageGrace;
  settings.lease_margin = std::chrono::milliseconds(0);
  settings.silence_before_record = kTick;
  settings.bound_record_interval = kTick;
  settings.max_report_age = 2 * kTick;
  settings.stalled_after = std::chrono::hours(1);
  return settings;
}

std::string WorkerId(std::size_t worker) {
  return "w-" + std::to_string(worker + 1);
}

protocol::authority AuthorityOf(const model_state& state,
                                const model_owner& owner) {
  if (owner.has_ended || !owner.restored_at)
    return protocol::authority::kNone;
  if (!owner.superseded_at)
    return protocol::authority::kFull;
  return protocol::AuthorityAt(
      state.now, *owner.superseded_at + kOwnerLeaseTerm, false, kOutageGrace);
}

bool MayPollFirst(const model_state& state, const model_owner& owner) {
  return AuthorityOf(state, owner) != protocol::authority::kNone &&
         !owner.has_polled &&
         (state.workers[0].IsListed() ||
          owner.scheduler.Get().HasRuns(WorkerId(0)));
}

lease_ends LeaseEnds(const model_owner& owner) {
  lease_ends ends{};
  for (const auto& [id, expiry] : owner.scheduler.Get().LeaseExpiries())
    ends[WorkerNumber(id)] = expiry;
  return ends;
}

void owner_driver::Restore() {
  owner_.restored_at = state_.now;
  const planted_fault fault = state_.left.fault;
  const base::time_point claimed_at =
      fault == planted_fault::kWaitFromBeforeClaim ? owner_.claimed_at - kTick
                                                   : owner_.claimed_at;
  std::chrono::milliseconds longest = kWorkerLease;
  if (fault != planted_fault::kOwnerTermIgnored)
    longest += kOwnerLeaseTerm + kOutageGrace;
  owner_.scheduler.Apply([journal = state_.journal.Journal(), claimed_at,
                          longest, now = state_.now](shard_scheduler& next) {
    next.Accept(Request());
    next.Restore(journal);
    next.FinishRestore(now, claimed_at, longest);
  });
  SetWorkers();
  CheckWait();
  // The first answer allows the lease that the second poll carries.
  Poll(1, delivery::kAnswered);
  Poll(1, delivery::kAnswered);
}

void owner_driver::SetWorkers() {
  owner_.scheduler.Apply([listed = Listed(state_)](shard_scheduler& scheduler) {
    scheduler.SetWorkers(listed);
  });
}

void owner_driver::CheckWait() {
  const shard_scheduler& scheduler = owner_.scheduler.Get();
  if (!state_.left.steady_owners || !state_.workers[0].HasCrashed() ||
      !scheduler.HasRuns(WorkerId(0)))
    return;
  owner_.wait = scheduler.AwaitedRuns(owner_.claimed_at).longest_wait;
  if (state_.owners.size() < 2)
    return;
  const auto before = state_.owners[state_.owners.size() - 2].wait;
  if (before && *owner_.wait > *before - kTick)
    state_.broken = kWaitStartsAnew;
}

bool owner_driver::MaySendLease(std::size_t worker) const {
  return owner_.answered[worker] &&
         (state_.left.fault == planted_fault::kLeaseWhileBounded ||
          owner_.scheduler.Get().MayRenewLease(WorkerId(worker)));
}

void owner_driver::OnLeaseSent(std::size_t worker) {
  owner_.was_in_touch[worker] = true;
  // With this fault, the scheduler takes leases for longer than they are.
  base::time_point sent_at = state_.now;
  if (state_.left.fault == planted_fault::kAnswerShortensNothing)
    sent_at -= kOwnerLeaseTerm + kOutageGrace;
  owner_.scheduler.Apply(
      [id = WorkerId(worker), sent_at](shard_scheduler& scheduler) {
        scheduler.OnLeaseSent(id, sent_at);
      });
}

void owner_driver::OnAnswer(std::size_t worker) {
  owner_.has_answered[worker] = true;
  owner_.was_in_touch[worker] = true;
  owner_.scheduler.Apply(
      [id = WorkerId(worker),
       report = state_.workers[worker].Report({Request().id}),
       now = state_.now](shard_scheduler& scheduler) {
        scheduler.OnReport(id, report, now, now);
      });
}

void owner_driver::Poll(std::size_t worker, delivery outcome) {
  message poll{worker, owner_.fence, {}, {}};
  if (MaySendLease(worker)) {
    poll.lease_end = state_.now + kWorkerLease;
    OnLeaseSent(worker);
  }
  owner_.answered[worker] = Deliver(poll, outcome);
  if (owner_.answered[worker])
    OnAnswer(worker);
  else
    OnPollFailed(worker, outcome);
  Decide();
}

bool owner_driver::Deliver(const message& sent, delivery outcome) {
  if (outcome == delivery::kLate)
    state_.network.push_back(sent);
  if (outcome != delivery::kAnswered && outcome != delivery::kAnswerLost)
    return false;
  const bool is_accepted = state_.workers[sent.worker].Receive(sent);
  owner_.has_ended |= !is_accepted && outcome == delivery::kAnswered;
  return is_accepted && outcome == delivery::kAnswered;
}

void owner_driver::OnPollFailed(std::size_t worker, delivery outcome) {
  owner_.scheduler.Apply([id = WorkerId(worker), now = state_.now,
                          outcome](shard_scheduler& scheduler) {
    if (outcome == delivery::kReplaced)
      scheduler.OnWorkerReplaced(id, now, now);
    else
      scheduler.OnPollUnanswered(id, now);
  });
}

void owner_driver::Decide() {
  if (AuthorityOf(state_, owner_) != protocol::authority::kFull)
    return;
  owner_.scheduler.Apply([now = state_.now](shard_scheduler& scheduler) {
    scheduler.Plan(now, kSinceEpoch);
  });
  TakeBatch();
  SendCommands(delivery::kAnswered);
}

void owner_driver::TakeBatch() {
  if (owner_.commit)
    return;
  const auto batch = owner_.scheduler.Apply(
      [](shard_scheduler& scheduler) { return scheduler.TakeBatch(); });
  if (!batch)
    return;
  pending_commit commit{
      batch->number, {false, batch->tasks, {}, batch->workers}, {}};
  if (state_.left.snapshots > 0)
    commit.snapshot = owner_.scheduler.Get().Snapshot();
  const planted_fault fault = state_.left.fault;
  if (fault == planted_fault::kNoBounds)
    for (submissions::worker_record& record : commit.entry.workers)
      record.lease_left.reset();
  if (fault == planted_fault::kSnapshotWithoutWorkers)
    commit.snapshot.workers.clear();
  owner_.commit = std::move(commit);
}

void owner_driver::OnCommitted(delivery start) {
  owner_.scheduler.Apply(
      [batch = owner_.commit->batch](shard_scheduler& scheduler) {
        scheduler.OnCommitted(batch);
      });
  owner_.commit.reset();
  TakeBatch();
  if (AuthorityOf(state_, owner_) == protocol::authority::kFull)
    SendCommands(start);
}

void owner_driver::SendCommands(delivery start) {
  const submissions::command_set commands =
      owner_.scheduler.Apply([now = state_.now](shard_scheduler& scheduler) {
        return scheduler.TakeCommands(now);
      });
  for (const submissions::start_command& command : commands.starts)
    SendStart(command,
              WorkerNumber(command.worker) == 0 ? start : delivery::kAnswered);
  for (const submissions::stop_command& command : commands.stops)
    SendStop(command);
}

void owner_driver::SendStart(const submissions::start_command& command,
                             delivery outcome) {
  CheckStart(command);
  const message sent{WorkerNumber(command.worker), owner_.fence,
                     state_.now + kWorkerLease, command.run};
  const start_outcome answer = DeliverStart(sent, outcome);
  owner_.has_ended |= answer == start_outcome::kFenced;
  OnLeaseSent(sent.worker);
  owner_.scheduler.Apply(
      [command, answer, now = state_.now](shard_scheduler& scheduler) {
        scheduler.OnStartOutcome(command, answer, now);
      });
}

start_outcome owner_driver::DeliverStart(const message& sent,
                                         delivery outcome) {
  model_worker& worker = state_.workers[sent.worker];
  if (outcome == delivery::kLate)
    state_.network.push_back(sent);
  const bool arrives =
      outcome == delivery::kAnswered || outcome == delivery::kAnswerLost;
  if (!arrives || worker.HasCrashed())
    return start_outcome::kUnknown;
  const start_outcome answer = worker.Start(sent, state_.now, false);
  return outcome == delivery::kAnswered ? answer : start_outcome::kUnknown;
}

void owner_driver::SendStop(const submissions::stop_command& command) {
  const std::size_t worker = WorkerNumber(command.worker);
  const bool is_confirmed =
      owner_.answered[worker] &&
      state_.workers[worker].Stop(owner_.fence, command.run);
  owner_.scheduler.Apply(
      [command, is_confirmed, now = state_.now](shard_scheduler& scheduler) {
        scheduler.OnStopOutcome(command, is_confirmed, now);
      });
}

void owner_driver::CheckStart(const submissions::start_command& command) {
  for (const model_worker& worker : state_.workers)
    if (worker.Run() && *worker.Run() != command.run)
      state_.broken = kEarlyStart;
}

}  // namespace chivecrank::lease_model
