#include "chivecrank/shards/shard_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/scheduling/planner.h"
#include "internal/shard_state_machine.h"

namespace chivecrank::shards {
namespace {

/// Maximum number of events in one record; fewer if the record would exceed the
/// store's size limit for a value.
constexpr std::size_t kMaxEventsPerRecord = 2000;
/// Submissions are rejected while more events than this are unconfirmed.
constexpr std::uint64_t kMaxUnconfirmedEvents = 20'000;
/// Minimum number of lease renewals within a worker lease term.
constexpr int kSyncsPerTerm = 4;
/// A sync renews the worker's lease from the time at which the worker answered
/// the previous sync, so two consecutive syncs are needed for a full term.
constexpr int kSyncsForFullTerm = 2;
/// Longest time between two plans. Even if no event occurs, a new plan is
/// needed, because retry delays expire and due times approach.
constexpr std::chrono::seconds kMaxPlanInterval{1};

std::unique_ptr<scheduling::planner> NewPlanner() {
  scheduling::planner_settings settings;
  // Workers do not support throttling and do not report latencies yet.
  settings.mitigation_enabled = false;
  return std::make_unique<scheduling::planner>(settings,
                                               scheduling::planner_hooks{});
}

base::error TaskNotFound(const std::string& task_id) {
  return {base::error_kind::kNotFound, "there is no job " + task_id,
          "check the identifier that the submission returned"};
}

base::error ShardFenced(const std::string& shard) {
  return {base::error_kind::kFenced, "shard " + shard + " has another owner",
          "try again; the new owner will be looked up"};
}

base::error JournalUnavailable(const std::string& shard) {
  return {base::error_kind::kUnavailable,
          "the journal of shard " + shard + " can't be written now",
          "try again later with the same idempotency key"};
}

base::error NotConfirmed(const std::string& shard) {
  return {base::error_kind::kOutcomeUnknown,
          "the journal of shard " + shard + " has not confirmed the change",
          "repeat the call with the same idempotency key"};
}

}  // namespace

struct shard_runner::worker_entry {
  coordination::instance listed;
  bool accepts_tasks = false;
  bool sync_in_progress = false;
  /// Whether the worker must be synced before its next regular sync.
  bool sync_requested = false;
  base::time_point next_sync{};
  int failures = 0;
};

shard_runner::shard_runner(
    std::string shard,
    std::uint64_t epoch,
    shard_settings settings,
    base::clock& clock,
    coordination::store& store,
    workers::agent& agents,
    std::string run,
    std::shared_ptr<const protocol::ownership_lease> ownership_lease,
    executors call_executors,
    event_hook on_event)
    : shard_(std::move(shard)),
      epoch_(epoch),
      settings_(settings),
      clock_(clock),
      agents_(agents),
      ownership_lease_(std::move(ownership_lease)),
      call_executors_(std::move(call_executors)),
      on_event_(std::move(on_event)),
      planner_(NewPlanner()),
      state_machine_(NewStateMachine()),
      journal_(store, shard_, std::move(run), settings_.journal),
      max_batch_events_(kMaxEventsPerRecord) {}

shard_runner::~shard_runner() {
  Close();
}

void shard_runner::Close() {
  RenewLeasesBeforeClose();
  std::unique_lock lock(mutex_);
  closing_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return calls_in_progress_ == 0; });
}

void shard_runner::RenewLeasesBeforeClose() {
  for (int i = 0; i < kSyncsForFullTerm; ++i) {
    {
      std::lock_guard lock(mutex_);
      renewing_before_close_ = true;
      // Unresponsive workers would only delay closing.
      for (auto& [id, entry] : workers_) {
        entry.next_sync =
            entry.failures == 0 ? base::time_point() : base::time_point::max();
      }
    }
    Dispatch();
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return calls_in_progress_ == 0; });
  }
}

base::result<void> shard_runner::Open() {
  std::lock_guard lock(mutex_);
  BOOST_OUTCOME_TRY(records, journal_.Open(epoch_));
  planner_ = NewPlanner();
  state_machine_ = NewStateMachine();
  for (const journal::record& read : records) {
    for (const scheduling::event& recorded : read.events) {
      BOOST_OUTCOME_TRY(state_machine_->Replay(recorded));
    }
  }
  planner_->Restore(state_machine_->state(), clock_.WallNow());
  LOG(INFO) << "shard " << shard_ << ": opened epoch " << epoch_ << " with "
            << state_machine_->state().tasks().size() << " tasks.";
  return base::Success();
}

base::result<void> shard_runner::RunRound(
    const std::vector<coordination::instance>& workers) {
  {
    std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRY(CheckNotFenced());
    if (renewing_before_close_)
      return base::Success();
    const protocol::authority authority =
        ownership_lease_->GetAuthority(clock_.Now());
    if (authority == protocol::authority::kNone)
      return CheckFullAuthority();
    UpdateWorkers(workers);
    if (authority == protocol::authority::kFull) {
      StageLostAttempts();
      StagePlanned();
    }
    AskForWrite();
  }
  Dispatch();
  std::lock_guard lock(mutex_);
  return CheckNotFenced();
}

base::result<scheduling::task> shard_runner::Submit(
    const scheduling::task_request& request) {
  std::unique_lock lock(mutex_);
  BOOST_OUTCOME_TRY(CheckFullAuthority());
  std::uint64_t position = state_machine_->PositionOf(request.id);
  if (state_machine_->state().Find(request.id) == nullptr) {
    const std::uint64_t waiting =
        state_machine_->staged_end() - state_machine_->confirmed();
    if (consecutive_write_failures_ > 0 || waiting > kMaxUnconfirmedEvents)
      return JournalUnavailable(shard_);
    BOOST_OUTCOME_TRY(staged, Stage({scheduling::task_accepted{request}}));
    position = staged;
  }
  BOOST_OUTCOME_TRY(AwaitConfirmation(lock, position));
  return *state_machine_->state().Find(request.id);
}

base::result<scheduling::task> shard_runner::Find(const std::string& task_id) {
  std::unique_lock lock(mutex_);
  if (state_machine_->state().Find(task_id) == nullptr)
    return TaskNotFound(task_id);
  BOOST_OUTCOME_TRY(
      AwaitConfirmation(lock, state_machine_->PositionOf(task_id)));
  return *state_machine_->state().Find(task_id);
}

base::result<scheduling::task> shard_runner::Cancel(
    const std::string& task_id) {
  {
    std::lock_guard lock(mutex_);
    const scheduling::task* known = state_machine_->state().Find(task_id);
    if (known == nullptr)
      return TaskNotFound(task_id);
    if (scheduling::IsFinal(known->state) &&
        known->state != scheduling::task_state::kCancelled) {
      return base::error{
          base::error_kind::kConflict,
          "job " + task_id + " has ended as " +
              std::string(scheduling::TaskStateName(known->state)),
          "nothing is left to cancel"};
    }
  }
  BOOST_OUTCOME_TRY(CancelAll({task_id}));
  return Find(task_id);
}

base::result<void> shard_runner::CancelAll(
    const std::vector<std::string>& task_ids) {
  std::unique_lock lock(mutex_);
  BOOST_OUTCOME_TRY(CheckFullAuthority());
  if (consecutive_write_failures_ > 0)
    return JournalUnavailable(shard_);
  std::vector<scheduling::event> events;
  for (const std::string& id : task_ids) {
    const scheduling::task* known = state_machine_->state().Find(id);
    if (known != nullptr && !scheduling::IsFinal(known->state))
      events.emplace_back(scheduling::task_cancelled{id});
  }
  BOOST_OUTCOME_TRY(position, Stage(std::move(events)));
  return AwaitConfirmation(lock, position);
}

shard_totals shard_runner::Totals() {
  std::lock_guard lock(mutex_);
  shard_totals totals;
  totals.shards = 1;
  for (const auto& [id, entry] : workers_) {
    if (entry.failures == 0)
      ++totals.answering_workers;
    else
      ++totals.unresponsive_workers;
  }
  totals.unconfirmed_events =
      state_machine_->staged_end() - state_machine_->confirmed();
  totals.failing_journals = consecutive_write_failures_ > 0 ? 1 : 0;
  for (const auto& [id, known] : state_machine_->state().tasks())
    ++totals.tasks[known.state];
  return totals;
}

base::result<void> shard_runner::CheckFullAuthority() const {
  BOOST_OUTCOME_TRY(CheckNotFenced());
  if (!closing_ && ownership_lease_->GetAuthority(clock_.Now()) ==
                       protocol::authority::kFull)
    return base::Success();
  return base::error{base::error_kind::kUnavailable,
                     "the lease on shard " + shard_ + " may have ended",
                     "try again; another scheduler takes over"};
}

base::result<void> shard_runner::CheckNotFenced() const {
  if (fenced_)
    return ShardFenced(shard_);
  return base::Success();
}

shard_runner::worker_entry& shard_runner::EntryOf(
    const std::string& worker_id) {
  return workers_[worker_id];
}

void shard_runner::UpdateWorkers(
    const std::vector<coordination::instance>& workers) {
  for (auto& [id, entry] : workers_)
    entry.accepts_tasks = false;
  for (const coordination::instance& worker : workers) {
    worker_entry& entry = EntryOf(worker.id);
    plan_due_ |= entry.listed.capacity != worker.capacity;
    entry.listed = worker;
    entry.accepts_tasks = worker.state == coordination::instance_state::kLive;
  }
  // Every listed worker now has an entry, so equal sizes mean that no worker is
  // missing from the list. Otherwise the entries of missing workers are
  // removed, except while a sync is in progress or tasks may still run there. A
  // worker whose last listed state is live, but which does not accept tasks, is
  // missing from the current list.
  if (workers_.size() == workers.size())
    return;
  std::erase_if(workers_, [this](const auto& known) {
    return !known.second.accepts_tasks && !known.second.sync_in_progress &&
           known.second.listed.state == coordination::instance_state::kLive &&
           state_machine_->state().OpenTasksOn(known.first).empty();
  });
}

void shard_runner::StageLostAttempts() {
  const std::size_t lost = state_machine_->StageLostAttempts(clock_.Now());
  if (lost == 0)
    return;
  plan_due_ = true;
  LOG(WARNING) << "shard " << shard_ << ": lost " << lost
               << " attempts on unresponsive workers.";
}

std::unique_ptr<internal::shard_state_machine> shard_runner::NewStateMachine() {
  return std::make_unique<internal::shard_state_machine>(
      epoch_, LeaseTermsOf(settings_), clock_.Now(),
      [this](const scheduling::event& recorded,
             const scheduling::shard_state& after) {
        planner_->Observe(recorded, after, clock_.WallNow());
        if (on_event_)
          on_event_(recorded);
      });
}

bool shard_runner::IsUrgent(const scheduling::event& planned) const {
  if (std::holds_alternative<scheduling::checkpoint_ordered>(planned))
    return true;
  const auto* start = std::get_if<scheduling::attempt_started>(&planned);
  return start != nullptr &&
         state_machine_->state().Find(start->task_id)->request.urgent;
}

void shard_runner::StagePlanned() {
  const base::time_point now = clock_.Now();
  if ((!plan_due_ && now < next_plan_) || consecutive_write_failures_ > 0)
    return;
  next_plan_ = now + kMaxPlanInterval;
  std::vector<scheduling::worker_view> ready;
  for (const auto& [id, entry] : workers_) {
    if (entry.accepts_tasks && entry.failures == 0 &&
        state_machine_->LinkOf(id).HasAnswered()) {
      ready.push_back({id, entry.listed.capacity, entry.listed.rack,
                       entry.listed.failure_domain});
    }
  }
  auto planned =
      planner_->Plan(state_machine_->state(), ready, clock_.WallNow());
  const bool urgent =
      std::any_of(planned.begin(), planned.end(),
                  [this](const auto& next) { return IsUrgent(next); });
  if (urgent)
    next_write_request_ = {};
  static_cast<void>(Stage(std::move(planned)));
  plan_due_ = false;
}

void shard_runner::AskForWrite() {
  const base::time_point now = clock_.Now();
  if (now < next_write_request_ || !state_machine_->IsWorthWriting())
    return;
  state_machine_->AskForWrite();
  next_write_request_ = now + settings_.commit_window;
}

base::result<std::uint64_t> shard_runner::Stage(
    std::vector<scheduling::event> events) {
  plan_due_ |= !events.empty();
  auto staged = state_machine_->Stage(std::move(events));
  if (!staged.has_value()) {
    LOG(ERROR) << "shard " << shard_ << ": " << base::Describe(staged.error())
               << ".";
  }
  return staged;
}

base::result<void> shard_runner::AwaitConfirmation(
    std::unique_lock<std::mutex>& lock,
    std::uint64_t position) {
  const std::uint64_t failures = total_write_failures_;
  const auto settled = [&] {
    return state_machine_->confirmed() >= position || fenced_ || closing_ ||
           total_write_failures_ != failures;
  };
  if (!settled()) {
    state_machine_->AskForWrite();
    lock.unlock();
    Dispatch();
    lock.lock();
    changed_.wait(lock, settled);
  }
  if (state_machine_->confirmed() >= position)
    return base::Success();
  return NotConfirmed(shard_);
}

void shard_runner::Dispatch() {
  std::vector<std::string> due;
  bool write = false;
  std::vector<bool> unresponsive;
  {
    std::lock_guard lock(mutex_);
    if (closing_ || fenced_)
      return;
    due = TakeDueWorkers();
    for (const std::string& id : due)
      unresponsive.push_back(EntryOf(id).failures > 0);
    write = TryBeginWrite();
    calls_in_progress_ += static_cast<int>(due.size()) + (write ? 1 : 0);
  }
  if (write)
    Launch(call_executors_.store, [this] { WriteStaged(); });
  for (std::size_t i = 0; i < due.size(); ++i) {
    Launch(unresponsive[i] ? call_executors_.unresponsive_workers
                           : call_executors_.workers,
           [this, id = due[i]] { SyncWorker(id); });
  }
}

void shard_runner::Launch(const executor& on, std::function<void()> job) {
  on([this, job = std::move(job)] {
    job();
    Dispatch();
    std::lock_guard lock(mutex_);
    --calls_in_progress_;
    changed_.notify_all();
  });
}

std::vector<std::string> shard_runner::TakeDueWorkers() {
  const base::time_point now = clock_.Now();
  std::vector<std::string> due;
  for (auto& [id, entry] : workers_) {
    if (entry.sync_in_progress || entry.listed.agent.port == 0)
      continue;
    const bool sync_now = entry.sync_requested && entry.failures == 0;
    if (!sync_now && now < entry.next_sync)
      continue;
    entry.sync_in_progress = true;
    entry.sync_requested = false;
    due.push_back(id);
  }
  return due;
}

bool shard_runner::TryBeginWrite() {
  if (writing_ || !state_machine_->NeedsWrite() || clock_.Now() < next_write_)
    return false;
  writing_ = true;
  return true;
}

void shard_runner::SyncWorker(const std::string& worker_id) {
  workers::sync_command command;
  settings::endpoint agent;
  {
    std::lock_guard lock(mutex_);
    worker_entry& entry = EntryOf(worker_id);
    const base::time_point now = clock_.Now();
    const protocol::authority authority = ownership_lease_->GetAuthority(now);
    entry.next_sync = now + std::min(settings_.sync_interval,
                                     settings_.task_lease_term / kSyncsPerTerm);
    if (authority == protocol::authority::kNone) {
      entry.sync_in_progress = false;
      return;
    }
    agent = entry.listed.agent;
    command = state_machine_->NextSync(worker_id,
                                       authority == protocol::authority::kFull);
  }
  const auto answer = agents_.Sync(agent, command);
  std::lock_guard lock(mutex_);
  EntryOf(worker_id).sync_in_progress = false;
  OnAnswer(worker_id, command, answer);
}

void shard_runner::OnAnswer(const std::string& worker_id,
                            const workers::sync_command& command,
                            const base::result<workers::sync_report>& answer) {
  worker_entry& entry = EntryOf(worker_id);
  if (!answer.has_value()) {
    fenced_ |= answer.error().kind == base::error_kind::kFenced;
    ++entry.failures;
    changed_.notify_all();
    return;
  }
  plan_due_ |= !state_machine_->LinkOf(worker_id).HasAnswered() ||
               entry.failures > 0 || !answer.value().attempts.empty();
  entry.failures = 0;
  const std::uint64_t staged_before = state_machine_->staged_end();
  const auto taken = state_machine_->OnReport(worker_id, command,
                                              answer.value(), clock_.Now());
  if (!taken.has_value()) {
    LOG(ERROR) << "shard " << shard_ << ": " << base::Describe(taken.error())
               << ".";
  }
  plan_due_ |= state_machine_->staged_end() != staged_before;
}

void shard_runner::WriteStaged() {
  std::unique_lock lock(mutex_);
  while (!fenced_ && state_machine_->NeedsWrite()) {
    if (!WriteBatch(lock))
      break;
  }
  writing_ = false;
  changed_.notify_all();
}

bool shard_runner::WriteBatch(std::unique_lock<std::mutex>& lock) {
  if (journal_.IsSnapshotDue())
    WriteSnapshot(lock);
  const std::vector<scheduling::event>& batch =
      state_machine_->TakeBatch(max_batch_events_);
  if (batch.empty())
    return true;
  lock.unlock();
  // The batch is changed only by this writer, so it can be read without the
  // lock.
  const auto written =
      journal_.HasPending() ? journal_.Retry() : journal_.Append(batch);
  lock.lock();
  if (!written.has_value())
    return OnWriteFailed(written.error());
  max_batch_events_ = std::min(2 * max_batch_events_, kMaxEventsPerRecord);
  consecutive_write_failures_ = 0;
  for (const std::string& worker_id : state_machine_->OnConfirmed())
    EntryOf(worker_id).sync_requested = true;
  changed_.notify_all();
  return true;
}

bool shard_runner::OnWriteFailed(const base::error& failure) {
  const std::size_t size = state_machine_->TakeBatch(max_batch_events_).size();
  if (failure.kind == base::error_kind::kResourceExhausted && size > 1) {
    max_batch_events_ = size / 2;
    state_machine_->RequeueBatch();
    return true;
  }
  fenced_ |= failure.kind == base::error_kind::kFenced;
  ++consecutive_write_failures_;
  ++total_write_failures_;
  next_write_ = clock_.Now() + settings_.round_interval;
  if (consecutive_write_failures_ == 1) {
    LOG(WARNING) << "shard " << shard_ << ": " << base::Describe(failure)
                 << ".";
  }
  return false;
}

void shard_runner::WriteSnapshot(std::unique_lock<std::mutex>& lock) {
  const std::vector<scheduling::event> retained = state_machine_->History();
  lock.unlock();
  const auto written = journal_.WriteSnapshot(retained);
  lock.lock();
  if (!written.has_value()) {
    LOG(WARNING) << "shard " << shard_ << ": no snapshot was written: "
                 << base::Describe(written.error()) << ".";
  }
}

}  // namespace chivecrank::shards
