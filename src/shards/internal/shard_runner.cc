#include "chivecrank/shards/shard_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/scheduling/planner.h"
#include "internal/shard_state_machine.h"

namespace chivecrank::shards {
namespace {

/// Events of one record, unless they are too large for a value.
constexpr std::size_t kEventsPerRecord = 2000;
/// Events that may wait for the store before submissions are refused.
constexpr std::uint64_t kStagedLimit = 20'000;
/// A lease is renewed at least this often within its term.
constexpr int kSyncsPerTerm = 4;
/// A lease counts from the worker's answer to the sync before, so that the
/// second of two syncs in a row gives it the whole term.
constexpr int kSyncsToRenew = 2;
/// Time after which decisions are due though nothing happened: delays pass,
/// and due times come near.
constexpr std::chrono::seconds kPlanInterval{1};

std::unique_ptr<scheduling::planner> NewPlanner() {
  scheduling::planner_settings settings;
  // Workers take no order to throttle and report no latencies yet.
  settings.mitigation_enabled = false;
  return std::make_unique<scheduling::planner>(settings,
                                               scheduling::planner_hooks{});
}

base::error NoTask(const std::string& task_id) {
  return {base::error_kind::kNotFound, "there is no job " + task_id,
          "check the identifier that the submission returned"};
}

base::error Replaced(const std::string& shard) {
  return {base::error_kind::kFenced, "shard " + shard + " has another owner",
          "try again; the owner is looked up anew"};
}

base::error StoreAway(const std::string& shard) {
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
  bool takes_tasks = false;
  bool busy = false;
  /// Whether there is something to tell the worker before its next sync.
  bool wake = false;
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
    std::shared_ptr<const protocol::ownership_lease> held,
    executors run_on,
    event_hook on_event)
    : shard_(std::move(shard)),
      epoch_(epoch),
      settings_(settings),
      clock_(clock),
      agents_(agents),
      held_(std::move(held)),
      run_on_(std::move(run_on)),
      on_event_(std::move(on_event)),
      planner_(NewPlanner()),
      ledger_(NewLedger()),
      journal_(store, shard_, std::move(run), settings_.journal),
      batch_limit_(kEventsPerRecord) {}

shard_runner::~shard_runner() {
  Close();
}

void shard_runner::Close() {
  RenewLast();
  std::unique_lock lock(mutex_);
  closing_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return calls_in_progress_ == 0; });
}

void shard_runner::RenewLast() {
  for (int i = 0; i < kSyncsToRenew; ++i) {
    {
      std::lock_guard lock(mutex_);
      renewing_last_ = true;
      // Silent workers would only hold up the end.
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
  ledger_ = NewLedger();
  for (const journal::record& read : records) {
    for (const scheduling::event& recorded : read.events) {
      BOOST_OUTCOME_TRY(ledger_->Replay(recorded));
    }
  }
  planner_->Restore(ledger_->state(), clock_.WallNow());
  LOG(INFO) << "shard " << shard_ << ": opened epoch " << epoch_ << " with "
            << ledger_->state().tasks().size() << " tasks.";
  return base::Success();
}

base::result<void> shard_runner::RunRound(
    const std::vector<coordination::instance>& workers) {
  {
    std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRY(CheckNotFenced());
    if (renewing_last_)
      return base::Success();
    const protocol::authority may = held_->GetAuthority(clock_.Now());
    if (may == protocol::authority::kNone)
      return CheckFull();
    UpdateWorkers(workers);
    if (may == protocol::authority::kFull) {
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
  BOOST_OUTCOME_TRY(CheckFull());
  std::uint64_t position = ledger_->PositionOf(request.id);
  if (ledger_->state().Find(request.id) == nullptr) {
    const std::uint64_t waiting = ledger_->staged_end() - ledger_->confirmed();
    if (failed_writes_ > 0 || waiting > kStagedLimit)
      return StoreAway(shard_);
    BOOST_OUTCOME_TRY(staged, Stage({scheduling::task_accepted{request}}));
    position = staged;
  }
  BOOST_OUTCOME_TRY(AwaitConfirmed(lock, position));
  return *ledger_->state().Find(request.id);
}

base::result<scheduling::task> shard_runner::Find(const std::string& task_id) {
  std::unique_lock lock(mutex_);
  if (ledger_->state().Find(task_id) == nullptr)
    return NoTask(task_id);
  BOOST_OUTCOME_TRY(AwaitConfirmed(lock, ledger_->PositionOf(task_id)));
  return *ledger_->state().Find(task_id);
}

base::result<scheduling::task> shard_runner::Cancel(
    const std::string& task_id) {
  {
    std::lock_guard lock(mutex_);
    const scheduling::task* known = ledger_->state().Find(task_id);
    if (known == nullptr)
      return NoTask(task_id);
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
  BOOST_OUTCOME_TRY(CheckFull());
  if (failed_writes_ > 0)
    return StoreAway(shard_);
  std::vector<scheduling::event> events;
  for (const std::string& id : task_ids) {
    const scheduling::task* known = ledger_->state().Find(id);
    if (known != nullptr && !scheduling::IsFinal(known->state))
      events.emplace_back(scheduling::task_cancelled{id});
  }
  BOOST_OUTCOME_TRY(position, Stage(std::move(events)));
  return AwaitConfirmed(lock, position);
}

shard_totals shard_runner::Totals() {
  std::lock_guard lock(mutex_);
  shard_totals totals;
  totals.shards = 1;
  for (const auto& [id, entry] : workers_) {
    if (entry.failures == 0)
      ++totals.answering_workers;
    else
      ++totals.silent_workers;
  }
  totals.unconfirmed_events = ledger_->staged_end() - ledger_->confirmed();
  totals.failing_journals = failed_writes_ > 0 ? 1 : 0;
  for (const auto& [id, known] : ledger_->state().tasks())
    ++totals.tasks[known.state];
  return totals;
}

base::result<void> shard_runner::CheckFull() const {
  BOOST_OUTCOME_TRY(CheckNotFenced());
  if (!closing_ &&
      held_->GetAuthority(clock_.Now()) == protocol::authority::kFull)
    return base::Success();
  return base::error{base::error_kind::kUnavailable,
                     "the lease on shard " + shard_ + " may have ended",
                     "try again; another scheduler takes over"};
}

base::result<void> shard_runner::CheckNotFenced() const {
  if (fenced_)
    return Replaced(shard_);
  return base::Success();
}

shard_runner::worker_entry& shard_runner::EntryOf(
    const std::string& worker_id) {
  return workers_[worker_id];
}

void shard_runner::UpdateWorkers(
    const std::vector<coordination::instance>& workers) {
  for (auto& [id, entry] : workers_)
    entry.takes_tasks = false;
  for (const coordination::instance& worker : workers) {
    worker_entry& entry = EntryOf(worker.id);
    plan_due_ |= entry.listed.capacity != worker.capacity;
    entry.listed = worker;
    entry.takes_tasks = worker.state == coordination::instance_state::kLive;
  }
  // Tasks may run on a worker that the lagging list no longer shows.
  if (workers_.size() == workers.size())
    return;
  std::erase_if(workers_, [this](const auto& known) {
    return !known.second.takes_tasks && !known.second.busy &&
           known.second.listed.state == coordination::instance_state::kLive &&
           ledger_->state().OpenTasksOn(known.first).empty();
  });
}

void shard_runner::StageLostAttempts() {
  const std::size_t lost = ledger_->StageLostAttempts(clock_.Now());
  if (lost == 0)
    return;
  plan_due_ = true;
  LOG(WARNING) << "shard " << shard_ << ": lost " << lost
               << " attempts on workers that say nothing.";
}

std::unique_ptr<internal::shard_state_machine> shard_runner::NewLedger() {
  return std::make_unique<internal::shard_state_machine>(
      epoch_, TermsOf(settings_), clock_.Now(),
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
         ledger_->state().Find(start->task_id)->request.urgent;
}

void shard_runner::StagePlanned() {
  const base::time_point now = clock_.Now();
  if ((!plan_due_ && now < next_plan_) || failed_writes_ > 0)
    return;
  next_plan_ = now + kPlanInterval;
  std::vector<scheduling::worker_view> ready;
  for (const auto& [id, entry] : workers_) {
    if (entry.takes_tasks && entry.failures == 0 &&
        ledger_->LinkOf(id).IsIntroduced()) {
      ready.push_back({id, entry.listed.capacity, entry.listed.rack,
                       entry.listed.failure_domain});
    }
  }
  auto planned = planner_->Plan(ledger_->state(), ready, clock_.WallNow());
  const bool urgent =
      std::any_of(planned.begin(), planned.end(),
                  [this](const auto& next) { return IsUrgent(next); });
  if (urgent)
    next_commit_ = {};
  static_cast<void>(Stage(std::move(planned)));
  plan_due_ = false;
}

void shard_runner::AskForWrite() {
  const base::time_point now = clock_.Now();
  if (now < next_commit_ || !ledger_->IsWorthWriting())
    return;
  ledger_->AskForWrite();
  next_commit_ = now + settings_.commit_window;
}

base::result<std::uint64_t> shard_runner::Stage(
    std::vector<scheduling::event> events) {
  plan_due_ |= !events.empty();
  auto staged = ledger_->Stage(std::move(events));
  if (!staged.has_value()) {
    LOG(ERROR) << "shard " << shard_ << ": " << base::Describe(staged.error())
               << ".";
  }
  return staged;
}

base::result<void> shard_runner::AwaitConfirmed(
    std::unique_lock<std::mutex>& lock,
    std::uint64_t position) {
  const std::uint64_t failures = failures_seen_;
  const auto settled = [&] {
    return ledger_->confirmed() >= position || fenced_ || closing_ ||
           failures_seen_ != failures;
  };
  if (!settled()) {
    ledger_->AskForWrite();
    lock.unlock();
    Dispatch();
    lock.lock();
    changed_.wait(lock, settled);
  }
  if (ledger_->confirmed() >= position)
    return base::Success();
  return NotConfirmed(shard_);
}

void shard_runner::Dispatch() {
  std::vector<std::string> due;
  bool write = false;
  std::vector<bool> silent;
  {
    std::lock_guard lock(mutex_);
    if (closing_ || fenced_)
      return;
    due = TakeDue();
    for (const std::string& id : due)
      silent.push_back(EntryOf(id).failures > 0);
    write = TakeWrite();
    calls_in_progress_ += static_cast<int>(due.size()) + (write ? 1 : 0);
  }
  if (write)
    Launch(run_on_.store, [this] { WriteStaged(); });
  for (std::size_t i = 0; i < due.size(); ++i) {
    Launch(silent[i] ? run_on_.silent_workers : run_on_.workers,
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

std::vector<std::string> shard_runner::TakeDue() {
  const base::time_point now = clock_.Now();
  std::vector<std::string> due;
  for (auto& [id, entry] : workers_) {
    if (entry.busy || entry.listed.agent.port == 0)
      continue;
    const bool wakes = entry.wake && entry.failures == 0;
    if (!wakes && now < entry.next_sync)
      continue;
    entry.busy = true;
    entry.wake = false;
    due.push_back(id);
  }
  return due;
}

bool shard_runner::TakeWrite() {
  if (writing_ || !ledger_->NeedsWrite() || clock_.Now() < next_write_)
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
    const protocol::authority may = held_->GetAuthority(now);
    entry.next_sync = now + std::min(settings_.sync_interval,
                                     settings_.task_lease_term / kSyncsPerTerm);
    if (may == protocol::authority::kNone) {
      entry.busy = false;
      return;
    }
    agent = entry.listed.agent;
    command = ledger_->NextSync(worker_id, may == protocol::authority::kFull);
  }
  const auto answer = agents_.Sync(agent, command);
  std::lock_guard lock(mutex_);
  EntryOf(worker_id).busy = false;
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
  plan_due_ |= !ledger_->LinkOf(worker_id).IsIntroduced() ||
               entry.failures > 0 || !answer.value().attempts.empty();
  entry.failures = 0;
  const std::uint64_t staged_before = ledger_->staged_end();
  const auto taken =
      ledger_->OnReport(worker_id, command, answer.value(), clock_.Now());
  if (!taken.has_value()) {
    LOG(ERROR) << "shard " << shard_ << ": " << base::Describe(taken.error())
               << ".";
  }
  plan_due_ |= ledger_->staged_end() != staged_before;
}

void shard_runner::WriteStaged() {
  std::unique_lock lock(mutex_);
  while (!fenced_ && ledger_->NeedsWrite()) {
    if (!WriteOnce(lock))
      break;
  }
  writing_ = false;
  changed_.notify_all();
}

bool shard_runner::WriteOnce(std::unique_lock<std::mutex>& lock) {
  if (journal_.WantsSnapshot())
    WriteSnapshot(lock);
  const std::vector<scheduling::event>& batch =
      ledger_->TakeBatch(batch_limit_);
  if (batch.empty())
    return true;
  lock.unlock();
  // Only this writer changes the batch.
  const auto written =
      journal_.HasPending() ? journal_.Retry() : journal_.Append(batch);
  lock.lock();
  if (!written.has_value())
    return OnWriteFailed(written.error());
  batch_limit_ = std::min(2 * batch_limit_, kEventsPerRecord);
  failed_writes_ = 0;
  for (const std::string& worker_id : ledger_->OnConfirmed())
    EntryOf(worker_id).wake = true;
  changed_.notify_all();
  return true;
}

bool shard_runner::OnWriteFailed(const base::error& failure) {
  const std::size_t size = ledger_->TakeBatch(batch_limit_).size();
  if (failure.kind == base::error_kind::kResourceExhausted && size > 1) {
    batch_limit_ = size / 2;
    ledger_->RequeueBatch();
    return true;
  }
  fenced_ |= failure.kind == base::error_kind::kFenced;
  ++failed_writes_;
  ++failures_seen_;
  next_write_ = clock_.Now() + settings_.round_interval;
  if (failed_writes_ == 1) {
    LOG(WARNING) << "shard " << shard_ << ": " << base::Describe(failure)
                 << ".";
  }
  return false;
}

void shard_runner::WriteSnapshot(std::unique_lock<std::mutex>& lock) {
  const std::vector<scheduling::event> retained = ledger_->History();
  lock.unlock();
  const auto written = journal_.WriteSnapshot(retained);
  lock.lock();
  if (!written.has_value()) {
    LOG(WARNING) << "shard " << shard_
                 << ": no snapshot: " << base::Describe(written.error()) << ".";
  }
}

}  // namespace chivecrank::shards
