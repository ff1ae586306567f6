#include "chivecrank/shards/shard_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/scheduling/placement.h"
#include "internal/worker_link.h"

namespace chivecrank::shards {
namespace {

/// Events of one record, unless they are too large for a value.
constexpr std::size_t kEventsPerRecord = 2000;
/// Events that may wait for the store before submissions are refused.
constexpr std::uint64_t kStagedLimit = 20'000;
/// A lease is renewed at least this often within its term.
constexpr int kSyncsPerTerm = 4;

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

const std::string& TaskOf(const scheduling::event& recorded) {
  return std::visit(
      [](const auto& known) -> const std::string& {
        using kind = std::decay_t<decltype(known)>;
        if constexpr (std::is_same_v<kind, scheduling::task_accepted>)
          return known.request.id;
        else
          return known.task_id;
      },
      recorded);
}

/// A confirmation saves the next owner nothing that its first syncs don't
/// tell, so it is not worth a write of its own.
bool IsWorthAWrite(const scheduling::event& recorded) {
  return !std::holds_alternative<scheduling::attempt_confirmed>(recorded);
}

}  // namespace

struct shard_runner::worker_entry {
  internal::worker_link link;
  platform::instance listed;
  bool takes_tasks = false;
  bool busy = false;
  /// Whether there is something to tell the worker before its next sync.
  bool wake = false;
  base::time_point next_sync{};
  int failures = 0;
};

shard_runner::shard_runner(std::string shard,
                           std::uint64_t epoch,
                           shard_settings settings,
                           base::clock& clock,
                           platform::store& store,
                           workers::agent& agents,
                           std::string run,
                           std::shared_ptr<const protocol::tenure> held,
                           executors run_on)
    : shard_(std::move(shard)),
      epoch_(epoch),
      settings_(settings),
      clock_(clock),
      agents_(agents),
      held_(std::move(held)),
      run_on_(std::move(run_on)),
      opened_(clock.Now()),
      journal_(store, shard_, std::move(run)),
      batch_limit_(kEventsPerRecord) {}

shard_runner::~shard_runner() {
  Close();
}

void shard_runner::Close() {
  std::unique_lock lock(mutex_);
  closing_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return calls_in_progress_ == 0; });
}

base::result<void> shard_runner::Open() {
  std::lock_guard lock(mutex_);
  BOOST_OUTCOME_TRY(records, journal_.Open(epoch_));
  for (const journal::record& read : records) {
    for (const scheduling::event& recorded : read.events) {
      BOOST_OUTCOME_TRY(state_.Apply(recorded));
      history_[TaskOf(recorded)].push_back(recorded);
    }
  }
  opened_ = clock_.Now();
  LOG(INFO) << "shard " << shard_ << ": opened epoch " << epoch_ << " with "
            << state_.tasks().size() << " tasks.";
  return base::Success();
}

base::result<void> shard_runner::RunRound(
    const std::vector<platform::instance>& workers) {
  {
    std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRY(CheckNotFenced());
    const protocol::authority may = held_->At(clock_.Now());
    if (may == protocol::authority::kNone)
      return CheckFull();
    UpdateWorkers(workers);
    if (may == protocol::authority::kFull) {
      StageLost();
      StageStarts();
    }
  }
  Dispatch();
  std::lock_guard lock(mutex_);
  return CheckNotFenced();
}

base::result<scheduling::task> shard_runner::Submit(
    const scheduling::task_request& request) {
  std::unique_lock lock(mutex_);
  BOOST_OUTCOME_TRY(CheckFull());
  event_position position = 0;
  if (state_.Find(request.id) != nullptr) {
    const auto waiting = unconfirmed_.find(request.id);
    position = waiting == unconfirmed_.end() ? 0 : waiting->second;
  } else {
    if (failed_writes_ > 0 || staged_end_ - confirmed_ > kStagedLimit)
      return StoreAway(shard_);
    BOOST_OUTCOME_TRY(staged, Stage({scheduling::task_accepted{request}}));
    position = staged;
  }
  BOOST_OUTCOME_TRY(AwaitConfirmed(lock, position));
  return *state_.Find(request.id);
}

base::result<scheduling::task> shard_runner::Find(const std::string& task_id) {
  std::unique_lock lock(mutex_);
  if (state_.Find(task_id) == nullptr)
    return NoTask(task_id);
  const auto waiting = unconfirmed_.find(task_id);
  if (waiting != unconfirmed_.end()) {
    BOOST_OUTCOME_TRY(AwaitConfirmed(lock, waiting->second));
  }
  return *state_.Find(task_id);
}

base::result<scheduling::task> shard_runner::Cancel(
    const std::string& task_id) {
  {
    std::lock_guard lock(mutex_);
    const scheduling::task* known = state_.Find(task_id);
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
    const scheduling::task* known = state_.Find(id);
    if (known != nullptr && !scheduling::IsFinal(known->state))
      events.emplace_back(scheduling::task_cancelled{id});
  }
  BOOST_OUTCOME_TRY(position, Stage(std::move(events)));
  return AwaitConfirmed(lock, position);
}

base::result<void> shard_runner::CheckFull() const {
  BOOST_OUTCOME_TRY(CheckNotFenced());
  if (!closing_ && held_->At(clock_.Now()) == protocol::authority::kFull)
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
  const auto found = workers_.find(worker_id);
  if (found != workers_.end())
    return found->second;
  // A worker that was never met may run what a former owner started.
  return workers_
      .emplace(worker_id, worker_entry{internal::worker_link(
                              worker_id, epoch_, TermsOf(settings_), opened_)})
      .first->second;
}

void shard_runner::UpdateWorkers(
    const std::vector<platform::instance>& workers) {
  for (auto& [id, entry] : workers_)
    entry.takes_tasks = false;
  for (const platform::instance& worker : workers) {
    worker_entry& entry = EntryOf(worker.id);
    plan_due_ |= entry.listed.capacity != worker.capacity;
    entry.listed = worker;
    entry.takes_tasks = worker.state == platform::instance_state::kLive;
  }
  // Tasks may run on a worker that the lagging list no longer shows.
  if (workers_.size() == workers.size())
    return;
  std::erase_if(workers_, [this](const auto& known) {
    return !known.second.takes_tasks && !known.second.busy &&
           known.second.listed.state == platform::instance_state::kLive &&
           state_.OpenOn(known.first).empty();
  });
}

void shard_runner::StageLost() {
  const base::time_point now = clock_.Now();
  for (auto& [id, entry] : workers_) {
    auto lost = entry.link.TakeLost(state_, now);
    if (lost.empty())
      continue;
    LOG(WARNING) << "shard " << shard_ << ": lost " << lost.size()
                 << " attempts on " << id << ", which says nothing.";
    static_cast<void>(Stage(std::move(lost)));
  }
}

void shard_runner::StageStarts() {
  if (!plan_due_ || failed_writes_ > 0)
    return;
  plan_due_ = false;
  if (state_.waiting().empty())
    return;
  std::vector<scheduling::worker_view> ready;
  for (const auto& [id, entry] : workers_) {
    if (entry.takes_tasks && entry.link.IsIntroduced() && entry.failures == 0) {
      ready.push_back({id, entry.listed.capacity, entry.listed.rack,
                       entry.listed.failure_domain});
    }
  }
  const auto starts = scheduling::PlanStarts(state_, ready);
  static_cast<void>(Stage({starts.begin(), starts.end()}));
  plan_due_ = false;
}

base::result<shard_runner::event_position> shard_runner::Stage(
    std::vector<scheduling::event> events) {
  for (scheduling::event& recorded : events) {
    const auto applied = state_.Apply(recorded);
    if (!applied.has_value()) {
      LOG(ERROR) << "shard " << shard_ << ": "
                 << base::Describe(applied.error()) << ".";
      return applied.error();
    }
    unconfirmed_[TaskOf(recorded)] = ++staged_end_;
    write_due_ |= IsWorthAWrite(recorded);
    staged_.push_back(std::move(recorded));
    plan_due_ = true;
  }
  return staged_end_;
}

base::result<void> shard_runner::AwaitConfirmed(
    std::unique_lock<std::mutex>& lock,
    event_position position) {
  const std::uint64_t failures = failures_seen_;
  const auto settled = [&] {
    return confirmed_ >= position || fenced_ || closing_ ||
           failures_seen_ != failures;
  };
  if (!settled()) {
    write_due_ = true;
    lock.unlock();
    Dispatch();
    lock.lock();
    changed_.wait(lock, settled);
  }
  if (confirmed_ >= position)
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
  const bool due = write_due_ || !batch_.empty();
  if (writing_ || !due)
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
    const protocol::authority may = held_->At(now);
    entry.next_sync = now + std::min(settings_.sync_interval,
                                     settings_.task_lease / kSyncsPerTerm);
    if (may == protocol::authority::kNone) {
      entry.busy = false;
      return;
    }
    agent = entry.listed.agent;
    command = entry.link.NextSync(state_, confirmed_,
                                  may == protocol::authority::kFull);
  }
  const auto answer = agents_.Sync(agent, command);
  std::lock_guard lock(mutex_);
  worker_entry& entry = EntryOf(worker_id);
  entry.busy = false;
  OnAnswer(entry, command, answer);
}

void shard_runner::OnAnswer(worker_entry& entry,
                            const workers::sync_command& command,
                            const base::result<workers::sync_report>& answer) {
  if (!answer.has_value()) {
    fenced_ |= answer.error().kind == base::error_kind::kFenced;
    ++entry.failures;
    changed_.notify_all();
    return;
  }
  plan_due_ |= !entry.link.IsIntroduced() || entry.failures > 0;
  entry.failures = 0;
  auto events =
      entry.link.OnReport(command, answer.value(), state_, clock_.Now());
  const auto staged = Stage(std::move(events));
  entry.link.OnStaged(staged.has_value() ? staged.value() : staged_end_);
}

void shard_runner::WriteStaged() {
  std::unique_lock lock(mutex_);
  while (!fenced_ && (write_due_ || !batch_.empty())) {
    if (!WriteOnce(lock))
      break;
  }
  writing_ = false;
  changed_.notify_all();
}

bool shard_runner::WriteOnce(std::unique_lock<std::mutex>& lock) {
  if (journal_.WantsSnapshot())
    WriteSnapshot(lock);
  if (batch_.empty())
    TakeBatch();
  if (batch_.empty())
    return true;
  lock.unlock();
  const auto written =
      journal_.HasPending() ? journal_.Retry() : journal_.Append(batch_);
  lock.lock();
  if (written.has_value()) {
    batch_limit_ = std::min(2 * batch_limit_, kEventsPerRecord);
    OnConfirmed();
    return true;
  }
  const base::error& failure = written.error();
  if (failure.kind == base::error_kind::kFenced) {
    fenced_ = true;
  } else if (failure.kind == base::error_kind::kResourceExhausted &&
             batch_.size() > 1) {
    batch_limit_ = std::max<std::size_t>(1, batch_.size() / 2);
    staged_.insert(staged_.begin(), batch_.begin(), batch_.end());
    batch_.clear();
    write_due_ = true;
    return true;
  } else {
    ++failed_writes_;
    LOG(WARNING) << "shard " << shard_ << ": " << base::Describe(failure)
                 << ".";
  }
  ++failures_seen_;
  return false;
}

void shard_runner::TakeBatch() {
  const std::size_t count = std::min(staged_.size(), batch_limit_);
  const auto end = staged_.begin() + static_cast<std::ptrdiff_t>(count);
  batch_.assign(std::make_move_iterator(staged_.begin()),
                std::make_move_iterator(end));
  staged_.erase(staged_.begin(), end);
  write_due_ = !staged_.empty();
}

void shard_runner::OnConfirmed() {
  failed_writes_ = 0;
  confirmed_ += batch_.size();
  for (scheduling::event& recorded : batch_) {
    const std::string id = TaskOf(recorded);
    const auto waiting = unconfirmed_.find(id);
    if (waiting != unconfirmed_.end() && waiting->second <= confirmed_)
      unconfirmed_.erase(waiting);
    const scheduling::task& known = *state_.Find(id);
    const auto* start = std::get_if<scheduling::attempt_started>(&recorded);
    if (!known.worker_id.empty()) {
      worker_entry& entry = EntryOf(known.worker_id);
      if (start != nullptr && start->attempt == known.attempt)
        entry.link.AddStart({id, start->attempt});
      // Starts, cancels and checkpoints go out now, not with the next renewal.
      entry.wake |= IsWorthAWrite(recorded);
    }
    history_[id].push_back(std::move(recorded));
  }
  batch_.clear();
  changed_.notify_all();
}

void shard_runner::WriteSnapshot(std::unique_lock<std::mutex>& lock) {
  std::vector<scheduling::event> retained;
  for (const auto& [id, events] : history_)
    retained.insert(retained.end(), events.begin(), events.end());
  lock.unlock();
  const auto written = journal_.WriteSnapshot(retained);
  lock.lock();
  if (!written.has_value()) {
    LOG(WARNING) << "shard " << shard_
                 << ": no snapshot: " << base::Describe(written.error()) << ".";
  }
}

}  // namespace chivecrank::shards
