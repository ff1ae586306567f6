#include "chivecrank/runtime/shard_driver.h"

#include <algorithm>
#include <utility>

#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::runtime {
namespace {

constexpr std::chrono::milliseconds kReplicaPollInterval{20};
/// A run that starts with a shorter lease could end before it is renewed.
constexpr std::chrono::milliseconds kShortestStartLease{1000};
/// The status rounds reserved processors down to a multiple of this many
/// millicores, so that it does not change with every task.
constexpr std::int64_t kStatusStepMilli = 16'000;

std::int64_t ToMilliseconds(base::duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

shard_driver::shard_driver(reactor::event_loop& loop,
                           base::clock& clock,
                           metadata::store& store,
                           submissions::worker_gateway& gateway,
                           submissions::permit_service& permits,
                           const replica& shared,
                           event_log::event_log& log,
                           instance_metrics& metrics,
                           std::uint32_t shard,
                           const acquisition& acquired,
                           earlier_ownership earlier,
                           driver_settings settings,
                           hooks handlers)
    : loop_(loop),
      clock_(clock),
      store_(store),
      gateway_(gateway),
      permits_(permits),
      shared_(shared),
      log_(log),
      metrics_(metrics),
      shard_(shard),
      acquired_(acquired),
      earlier_(std::move(earlier)),
      fence_(acquired.fence),
      settings_(std::move(settings)),
      hooks_(std::move(handlers)),
      created_at_(loop.Now()),
      scheduler_(settings_.scheduling,
                 [this](const submissions::scheduler_event& event) {
                   OnEvent(event);
                 }),
      housekeeping_(loop,
                    store,
                    shared,
                    log,
                    scheduler_,
                    shard,
                    fence_,
                    settings_.housekeeping,
                    [this] { return HasFullAuthority(); }),
      journal_(loop,
               store,
               log,
               metrics,
               scheduler_,
               shard,
               fence_,
               settings_,
               {[this] { return HasFullAuthority(); }, hooks_.on_fenced,
                [this] { SendCommands(); }}),
      tenure_(loop,
              store,
              log,
              shard,
              fence_,
              {.settle_time =
                   settings_.owner_lease_term + settings_.unbounded_grace,
               .retry_delay = settings_.commit_retry_delay}),
      publisher_(loop,
                 store,
                 shared,
                 log,
                 shard,
                 fence_,
                 {.interval = settings_.status_interval,
                  .retry_delay = settings_.commit_retry_delay},
                 {[this] { return CurrentStatus(); },
                  [this] { return HasFullAuthority(); }, hooks_.on_fenced}),
      horizon_(settings_.LeaseHorizon()),
      polls_(loop, [this](const std::string& worker) { PollWorker(worker); }),
      wait_log_(log, shard),
      guard_(loop) {}

void shard_driver::Start() {
  WaitForReplica();
}

void shard_driver::WaitForReplica() {
  if (shared_.Revision() < fence_)
    return guard_.Later(kReplicaPollInterval, [this] { WaitForReplica(); });
  earlier_tenure_ = shared_.TenureOf(shard_);
  std::optional<tenure_record> last;
  if (earlier_tenure_)
    last = earlier_tenure_->record;
  earlier_owners_ended_ = AllEarlierOwnersEnded(last, acquired_.ended_fence);
  was_last_owner_ =
      earlier_owners_ended_ && last && last->fence == earlier_.fence;
  tenure_.Begin(earlier_owners_ended_,
                earlier_tenure_ ? earlier_tenure_->written_revision : 0);
  ReadJournal();
}

base::time_point shard_driver::EarlierLeasesEnd() const {
  const bool are_bounded =
      earlier_tenure_ && earlier_tenure_->record.bounds_leases;
  const std::chrono::milliseconds margin = settings_.scheduling.lease_margin;
  if (are_bounded && earlier_owners_ended_)
    return horizon_.LatestEndOfEnded(earlier_tenure_->seen_at, created_at_) +
           margin;
  if (are_bounded)
    return horizon_.LatestEnd(earlier_tenure_->seen_at) + margin;
  const base::time_point unbounded =
      created_at_ + settings_.scheduling.LongestLease();
  if (earlier_owners_ended_)
    return unbounded;
  return unbounded + settings_.owner_lease_term + settings_.unbounded_grace;
}

void shard_driver::ConsiderWitnesses() {
  // An unsettled tenure may have followed that of an older program.
  if (witnessed_at_ || !restored_ || !earlier_tenure_ ||
      !earlier_tenure_->record.bounds_leases ||
      !earlier_tenure_->record.settled || !witnesses_.AreMostSince(created_at_))
    return;
  witnessed_at_ = loop_.Now();
  const base::time_point end =
      horizon_.LatestEndOfReplaced(earlier_tenure_->seen_at, *witnessed_at_) +
      settings_.scheduling.lease_margin;
  scheduler_.RestrictEarlierLeases(end);
  log_.Write("shard_witnessed",
             {{"shard", shard_},
              {"fence", fence_},
              {"earlier_leases_ms", ToMilliseconds(end - *witnessed_at_)}});
}

std::chrono::milliseconds shard_driver::GrantableLease() const {
  if (!tenure_.HasBegun())
    return std::chrono::milliseconds(0);
  const base::time_point now = loop_.Now();
  const base::time_point recorded_at = tenure_.RecordedAt();
  const bool is_witnessed =
      horizon_.NeedsWitnesses(recorded_at, now) &&
      witnesses_.AreMostSince(now - settings_.LeaseHorizon().witness_age);
  return horizon_.Grantable(recorded_at, is_witnessed, now);
}

void shard_driver::ReadJournal() {
  ListAll(store_, JournalPrefix(shard_),
          guard_.Wrap([this](base::result<prefix_listing> listing) {
            if (!listing)
              return guard_.Later(settings_.commit_retry_delay,
                                  [this] { ReadJournal(); });
            Restore(listing.value().items);
          }));
}

void shard_driver::Restore(const std::vector<metadata::item>& journal) {
  for (const auto& [id, known] : shared_.Submissions())
    if (known.accepted && known.shard == shard_) {
      if (known.Ended())
        housekeeping_.RecordEnded(id);
      else
        Accept(id, known);
    }
  const std::vector<submissions::journal_entry> entries =
      journal_.ReadEntries(journal);
  for (const submissions::journal_entry& entry : entries)
    scheduler_.Restore(entry);
  scheduler_.FinishRestore(loop_.Now(), created_at_,
                           std::chrono::ceil<std::chrono::milliseconds>(
                               EarlierLeasesEnd() - created_at_));
  if (was_last_owner_)
    scheduler_.RestrictLeases(earlier_.leases);
  if (const auto status = shared_.Statuses().find(shard_);
      status != shared_.Statuses().end())
    scheduler_.AddSizes(status->second.sizes);
  publisher_.OnStored();
  AddUnlistedWorkers();
  restored_ = true;
  log_.Write("shard_restored", {{"shard", shard_},
                                {"fence", fence_},
                                {"earlier_ended", earlier_owners_ended_},
                                {"entries", entries.size()},
                                {"next_entry", journal_.NextEntry()}});
  for (const auto& [id, worker] : workers_)
    polls_.Schedule(id, std::chrono::milliseconds(0));
  ScheduleDecision();
  guard_.Later(settings_.idle_decision_interval,
               [this] { DecidePeriodically(); });
  housekeeping_.Start();
}

earlier_ownership shard_driver::Knowledge() const {
  if (!restored_)
    return {};
  return {fence_, scheduler_.LeaseExpiries()};
}

void shard_driver::AddUnlistedWorkers() {
  for (const submissions::worker_description& worker :
       scheduler_.WorkersWithRuns())
    if (worker.address.port != 0)
      workers_.emplace(worker.id, worker);
  SetWitnesses();
}

void shard_driver::Accept(const std::string& id,
                          const known_submission& known) {
  auto record = submissions::DecodeSubmission(known.record);
  if (!record) {
    log_.Write("submission_unreadable",
               {{"submission", id}, {"error", record.error().message}});
    return;
  }
  scheduler_.Accept(record.value());
}

void shard_driver::OnAccepted(const std::string& id) {
  const known_submission* known = shared_.Find(id);
  if (!restored_ || known == nullptr || known->shard != shard_)
    return;
  Accept(id, *known);
  publisher_.OnAccepted(known->accepted_revision);
  ScheduleDecision();
}

void shard_driver::OnEnded(const std::string& id) {
  const known_submission* known = shared_.Find(id);
  if (!restored_ || known == nullptr || known->shard != shard_)
    return;
  housekeeping_.RecordEnded(id);
  if (!known->cancelled)
    return;
  scheduler_.Cancel(id, loop_.Now());
  ScheduleDecision();
}

void shard_driver::OnMovedAway(const std::string& id) {
  scheduler_.FinishMove(id);
}

void shard_driver::SetQueues(const submissions::queue_table& queues) {
  for (const submissions::queue_route& route : queues.routes)
    scheduler_.SetPolicy(route.name, route.policy);
}

void shard_driver::SetWorkers(
    std::vector<submissions::worker_description> workers) {
  std::map<std::string, submissions::worker_description> now;
  for (submissions::worker_description& worker : workers) {
    const std::string id = worker.id;
    now.emplace(id, std::move(worker));
  }
  Disconnect(now);
  std::vector<submissions::worker_description> listed;
  listed.reserve(now.size());
  for (const auto& [id, worker] : now)
    listed.push_back(worker);
  // An unlisted worker may still run tasks. It is polled for as long as the
  // scheduler has runs on it.
  for (const auto& [id, worker] : workers_)
    if (!now.contains(id) && scheduler_.HasRuns(id))
      now.emplace(id, worker);
  workers_ = std::move(now);
  scheduler_.SetWorkers(listed);
  SetWitnesses();
  if (!restored_)
    return;
  for (const auto& [id, worker] : workers_)
    if (!polls_.Contains(id))
      polls_.Schedule(id, std::chrono::milliseconds(0));
  ScheduleDecision();
}

void shard_driver::Disconnect(
    const std::map<std::string, submissions::worker_description>& listed) {
  for (const auto& [id, worker] : workers_) {
    const auto now = listed.find(id);
    if (now != listed.end()) {
      if (IsReplaced(worker, now->second))
        gateway_.Disconnect(id);
      continue;
    }
    if (scheduler_.HasRuns(id))
      continue;
    polls_.Forget(id);
    gateway_.Disconnect(id);
  }
}

bool shard_driver::IsReplaced(
    const submissions::worker_description& known,
    const submissions::worker_description& listed) const {
  if (known.address != listed.address)
    return true;
  // Its reports may have told of the incarnation before its entry did.
  const bool is_polled = polls_.Incarnation(known.id) == listed.started_at_ms;
  return known.started_at_ms != listed.started_at_ms && !is_polled;
}

void shard_driver::SetWitnesses() {
  std::set<std::string> ids;
  for (const auto& [id, worker] : workers_)
    ids.insert(id);
  witnesses_.SetWorkers(std::move(ids));
}

void shard_driver::SetDrainedDomains(const std::set<std::string>& domains) {
  scheduler_.SetDrainedDomains(domains, loop_.Now());
  wait_log_.ForgetDrains();
  ScheduleDecision();
}

void shard_driver::ScheduleDecision() {
  if (decision_due_ || !restored_)
    return;
  decision_due_ = true;
  guard_.Later(settings_.decision_delay, [this] {
    decision_due_ = false;
    if (!MayDecide())
      return;
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock_.WallNow().time_since_epoch());
    scheduler_.Plan(loop_.Now(), since_epoch);
    journal_.WriteNext();
    publisher_.PublishIfDue();
    SendCommands();
  });
}

void shard_driver::DecidePeriodically() {
  if (!tenure_.IsSettling() && !scheduler_.MayEarlierOwnersRenew())
    tenure_.Settle();
  housekeeping_.MoveUnplaced();
  LogWaits();
  ScheduleDecision();
  guard_.Later(settings_.idle_decision_interval,
               [this] { DecidePeriodically(); });
}

void shard_driver::LogWaits() {
  const base::time_point now = loop_.Now();
  wait_log_.OnAwaitedRuns(scheduler_.AwaitedRuns(now));
  if (wait_log_.IsDrainLogDue(now))
    wait_log_.OnDrains(scheduler_.Drains(), now);
}

shard_status shard_driver::CurrentStatus() const {
  const submissions::shard_load load = scheduler_.Load();
  shard_status status;
  status.capacity_milli = load.capacity.processors_milli;
  status.reserved_milli =
      load.reserved.processors_milli / kStatusStepMilli * kStatusStepMilli;
  status.workers_by_free_cores = load.workers_by_free_cores;
  status.owner_processors_milli = settings_.processors_milli;
  status.sizes = scheduler_.Sizes();
  for (std::string& id : scheduler_.UnstartedSubmissions())
    status.not_started.insert(std::move(id));
  return status;
}

void shard_driver::SendCommands() {
  if (!MayDecide() || !tenure_.HasBegun())
    return;
  const submissions::command_set commands =
      scheduler_.TakeCommands(loop_.Now());
  for (const submissions::start_command& command : commands.starts)
    SendStart(command);
  for (const submissions::stop_command& command : commands.stops)
    SendStop(command);
  for (const submissions::throttle_command& command : commands.throttles)
    SendThrottle(command);
  for (const submissions::permit_request& request : commands.permit_requests)
    SendPermitRequest(request);
}

void shard_driver::SendPermitRequest(
    const submissions::permit_request& request) {
  permits_.RequestPermits(
      request,
      guard_.Wrap(
          [this, request](
              base::result<std::vector<submissions::start_permit>> granted) {
            log_.Write("permits_answered",
                       {{"submission", request.step.submission},
                        {"step", request.step.step},
                        {"asked", request.workers.size()},
                        {"granted", granted ? granted.value().size() : 0},
                        {"error", granted ? "" : granted.error().message}});
            scheduler_.OnPermitResponse(
                request, granted ? &granted.value() : nullptr, loop_.Now());
            ScheduleDecision();
          }));
}

void shard_driver::SendStart(const submissions::start_command& command) {
  const submissions::worker_description* worker = FindWorker(command.worker);
  if (worker == nullptr)
    return scheduler_.OnStartOutcome(
        command, submissions::start_outcome::kNotSent, loop_.Now());
  const std::chrono::milliseconds lease = GrantableLease();
  if (lease < kShortestStartLease)
    return scheduler_.OnStartOutcome(
        command, submissions::start_outcome::kNotSent, loop_.Now());
  scheduler_.OnLeaseSent(command.worker, loop_.Now());
  gateway_.Start(
      *worker, command, CommandHeader(command.worker, lease),
      guard_.Wrap([this, command](submissions::start_outcome outcome) {
        scheduler_.OnStartOutcome(command, outcome, loop_.Now());
        if (outcome == submissions::start_outcome::kFenced)
          CheckOwnership(command.worker);
        polls_.Schedule(command.worker, settings_.poll_spacing);
        if (outcome != submissions::start_outcome::kStarted)
          ScheduleDecision();
      }));
}

void shard_driver::SendStop(const submissions::stop_command& command) {
  const submissions::worker_description* worker = FindWorker(command.worker);
  if (worker == nullptr)
    return;
  gateway_.Stop(*worker, command, CommandHeader(command.worker),
                guard_.Wrap([this, command](bool done) {
                  scheduler_.OnStopOutcome(command, done, loop_.Now());
                  polls_.Schedule(command.worker, settings_.poll_spacing);
                }));
}

void shard_driver::SendThrottle(const submissions::throttle_command& command) {
  const submissions::worker_description* worker = FindWorker(command.worker);
  if (worker == nullptr)
    return;
  gateway_.Throttle(*worker, command, CommandHeader(command.worker),
                    guard_.Wrap([this, command](bool done) {
                      scheduler_.OnThrottleOutcome(command, done);
                    }));
}

void shard_driver::PollWorker(const std::string& worker) {
  const submissions::worker_description* known = FindWorker(worker);
  if (known == nullptr)
    return polls_.Forget(worker);
  if (hooks_.authority() == protocol::authority::kNone)
    return polls_.Schedule(worker, settings_.poll_retry_delay);
  submissions::poll_request request;
  request.header = CommandHeader(worker);
  request.acknowledged_end = scheduler_.AcknowledgedEnd(worker);
  const base::time_point now = loop_.Now();
  const bool was_answered = polls_.WasAnswered(worker);
  // The first poll, and each after one without an answer, is answered at once:
  // the worker gets no lease before.
  // Held answers would delay the end of a trial, for which others wait.
  if (was_answered && scheduler_.HasRuns(worker) &&
      !scheduler_.HasTrial(worker))
    request.wait = settings_.poll_wait;
  // A worker that did not answer the last poll is polled without a lease.
  // Otherwise each retry could renew its lease, which would then never expire.
  if (was_answered && scheduler_.MayRenewLease(worker))
    request.header.lease = GrantableLease();
  if (request.header.lease.count() > 0)
    scheduler_.OnLeaseSent(worker, now);
  gateway_.Poll(
      *known, request,
      guard_.Wrap([this, worker, number = polls_.OnSent(worker),
                   now](base::result<submissions::worker_report> report) {
        OnPoll(worker, number, now, std::move(report));
      }));
}

void shard_driver::OnPoll(const std::string& worker,
                          std::uint64_t number,
                          base::time_point requested_at,
                          base::result<submissions::worker_report> report) {
  std::optional<std::int64_t> incarnation;
  if (report)
    incarnation = report.value().started_at_ms;
  if (!polls_.OnEnded(worker, number, incarnation))
    return;
  metrics_.OnPoll(report.has_value(), loop_.Now() - requested_at);
  if (!report) {
    if (report.error().kind == base::error_kind::kFenced) {
      CheckOwnership(worker);
      scheduler_.OnPollUnanswered(worker, loop_.Now());
      return polls_.Schedule(worker, settings_.idle_poll_interval);
    }
    log_.Write("look_failed",
               {{"worker", worker},
                {"kind", base::ErrorKindName(report.error().kind)},
                {"error", report.error().message}});
    if (report.error().kind == base::error_kind::kNotFound) {
      scheduler_.OnWorkerReplaced(worker, requested_at, loop_.Now());
    } else {
      scheduler_.OnPollUnanswered(worker, loop_.Now());
    }
    ScheduleDecision();
    return polls_.Schedule(worker, settings_.poll_retry_delay);
  }
  witnesses_.OnAnswer(worker, requested_at);
  ConsiderWitnesses();
  scheduler_.OnReport(worker, report.value(), requested_at, loop_.Now());
  polls_.Schedule(worker, scheduler_.HasRuns(worker)
                              ? settings_.poll_spacing
                              : settings_.idle_poll_interval);
  ScheduleDecision();
}

void shard_driver::CheckOwnership(const std::string& refused_by) {
  store_.Get(
      OwnerKey(shard_),
      guard_.Wrap([this, refused_by](
                      base::result<std::optional<metadata::item>> found) {
        const bool is_owner =
            found && found.value() && found.value()->changed_at == fence_;
        if (!is_owner)
          return hooks_.on_fenced("a worker follows a newer owner");
        log_.Write("worker_follows_other",
                   {{"shard", shard_}, {"worker", refused_by}});
      }));
}

void shard_driver::OnEvent(const submissions::scheduler_event& event) {
  metrics_.OnSchedulerEvent(event);
  if (event.kind == submissions::scheduler_event_kind::kSubmissionEnded)
    metrics_.OnSubmissionEnded(event.outcome,
                               std::chrono::milliseconds(event.input));
  log_.Write(submissions::SchedulerEventKindName(event.kind),
             {{"shard", shard_},
              {"submission", event.task.submission},
              {"occurrence", event.task.occurrence},
              {"step", event.task.step},
              {"task", event.task.index},
              {"run", event.run},
              {"worker", event.worker},
              {"outcome", event.outcome},
              {"input", event.input}});
}

submissions::command_header shard_driver::CommandHeader(
    const std::string& worker,
    std::chrono::milliseconds lease) const {
  return {fence_, lease, polls_.Incarnation(worker)};
}

const submissions::worker_description* shard_driver::FindWorker(
    const std::string& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

}  // namespace chivecrank::runtime
