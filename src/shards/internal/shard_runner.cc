#include "chivecrank/shards/shard_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "chivecrank/scheduling/placement.h"

namespace chivecrank::shards {
namespace {

std::optional<scheduling::attempt_outcome> OutcomeOf(
    workers::attempt_state state) {
  switch (state) {
    case workers::attempt_state::kRunning:
      return std::nullopt;
    case workers::attempt_state::kDone:
      return scheduling::attempt_outcome::kDone;
    case workers::attempt_state::kFailed:
      return scheduling::attempt_outcome::kFailed;
    case workers::attempt_state::kStopped:
      return scheduling::attempt_outcome::kStopped;
  }
  return std::nullopt;
}

base::error NoTask(const std::string& task_id) {
  return {base::error_kind::kNotFound, "there is no job " + task_id,
          "check the identifier that the submission returned"};
}

}  // namespace

shard_runner::shard_runner(std::string shard,
                           std::uint64_t epoch,
                           shard_settings settings,
                           base::clock& clock,
                           platform::store& store,
                           workers::agent& agents,
                           std::string run,
                           std::function<bool()> holds)
    : shard_(std::move(shard)),
      epoch_(epoch),
      settings_(settings),
      clock_(clock),
      agents_(agents),
      holds_(std::move(holds)),
      journal_(store, shard_, std::move(run)) {}

base::result<void> shard_runner::Open() {
  std::lock_guard lock(mutex_);
  BOOST_OUTCOME_TRY(records, journal_.Open(epoch_));
  for (const journal::record& read : records) {
    for (const scheduling::event& recorded : read.events) {
      BOOST_OUTCOME_TRY(state_.Apply(recorded));
    }
  }
  LOG(INFO) << "shard " << shard_ << ": opened epoch " << epoch_ << " with "
            << state_.tasks().size() << " tasks.";
  return base::Success();
}

base::result<void> shard_runner::RunRound(
    const std::vector<platform::instance>& workers) {
  std::lock_guard lock(mutex_);
  BOOST_OUTCOME_TRY(CheckHolds());
  UpdateLinks(workers);
  for (const auto& [id, link] : links_) {
    BOOST_OUTCOME_TRY(SyncWorker(id));
  }
  BOOST_OUTCOME_TRY(RecordLost());
  return StartPlanned();
}

base::result<scheduling::task> shard_runner::Submit(
    const scheduling::task_request& request) {
  std::lock_guard lock(mutex_);
  BOOST_OUTCOME_TRY(CheckHolds());
  if (const scheduling::task* known = state_.Find(request.id))
    return *known;
  BOOST_OUTCOME_TRY(Record({scheduling::task_accepted{request}}));
  return *state_.Find(request.id);
}

base::result<scheduling::task> shard_runner::Find(const std::string& task_id) {
  std::lock_guard lock(mutex_);
  const scheduling::task* known = state_.Find(task_id);
  if (known == nullptr)
    return NoTask(task_id);
  return *known;
}

base::result<scheduling::task> shard_runner::Cancel(
    const std::string& task_id) {
  std::lock_guard lock(mutex_);
  BOOST_OUTCOME_TRY(CheckHolds());
  const scheduling::task* known = state_.Find(task_id);
  if (known == nullptr)
    return NoTask(task_id);
  if (known->state == scheduling::task_state::kCancelled)
    return *known;
  if (scheduling::IsFinal(known->state)) {
    return base::error{base::error_kind::kConflict,
                       "job " + task_id + " has ended as " +
                           std::string(scheduling::TaskStateName(known->state)),
                       "nothing is left to cancel"};
  }
  BOOST_OUTCOME_TRY(Record({scheduling::task_cancelled{task_id}}));
  return *state_.Find(task_id);
}

base::result<void> shard_runner::CheckHolds() const {
  if (holds_())
    return base::Success();
  return base::error{base::error_kind::kUnavailable,
                     "the lease on shard " + shard_ + " may have ended",
                     "try again; another scheduler takes over"};
}

base::result<void> shard_runner::Record(std::vector<scheduling::event> events) {
  if (events.empty())
    return base::Success();
  BOOST_OUTCOME_TRY(journal_.Append(events));
  for (const scheduling::event& recorded : events) {
    BOOST_OUTCOME_TRY(state_.Apply(recorded));
  }
  return base::Success();
}

void shard_runner::UpdateLinks(const std::vector<platform::instance>& workers) {
  for (auto& [id, link] : links_)
    link.takes_tasks = false;
  for (const platform::instance& worker : workers) {
    const auto [at, added] = links_.try_emplace(worker.id);
    at->second.agent = worker.agent;
    at->second.capacity = worker.capacity;
    at->second.takes_tasks = worker.state == platform::instance_state::kLive;
    if (added)
      at->second.last_sent = clock_.Now();
  }
  // Tasks may run on a worker that the lagging list no longer shows.
  for (const auto& [id, known] : state_.tasks()) {
    if (known.worker_id.empty())
      continue;
    const auto [at, added] = links_.try_emplace(known.worker_id);
    if (added)
      at->second.last_sent = clock_.Now();
  }
}

base::result<void> shard_runner::SyncWorker(const std::string& worker_id) {
  worker_link& link = links_[worker_id];
  if (link.agent.port == 0)
    return base::Success();
  const workers::sync_command command{epoch_, settings_.task_lease,
                                      AttemptsOn(worker_id, false),
                                      link.acknowledged};
  BOOST_OUTCOME_TRY(CheckHolds());
  const base::time_point sent = clock_.Now();
  const auto known = agents_.Sync(link.agent, command);
  if (!known.has_value()) {
    if (known.error().kind == base::error_kind::kFenced)
      return known.error();
    if (known.error().kind != base::error_kind::kUnavailable)
      link.last_sent = sent;
    link.synced = false;
    return base::Success();
  }
  link.last_sent = sent;
  link.synced = true;
  link.acknowledged.clear();
  BOOST_OUTCOME_TRY(RecordEnded(worker_id, known.value()));
  for (const workers::attempt_id& cancelled : AttemptsOn(worker_id, true)) {
    // A stop that fails is sent again in the next round.
    static_cast<void>(agents_.Stop(link.agent, {epoch_, cancelled}));
  }
  return base::Success();
}

base::result<void> shard_runner::RecordEnded(const std::string& worker_id,
                                             const workers::inventory& known) {
  std::vector<scheduling::event> ended;
  std::vector<workers::attempt_id> acknowledged;
  std::vector<workers::attempt_id> reported;
  for (const workers::attempt_report& report : known.attempts) {
    reported.push_back(report.attempt);
    const auto outcome = OutcomeOf(report.state);
    if (!outcome)
      continue;
    acknowledged.push_back(report.attempt);
    const scheduling::task* task = state_.Find(report.attempt.task_id);
    if (task != nullptr && task->worker_id == worker_id &&
        task->attempt == report.attempt.attempt) {
      ended.emplace_back(scheduling::attempt_ended{
          report.attempt.task_id, report.attempt.attempt, *outcome});
    }
  }
  // An attempt that the worker does not know never started, or was forgotten
  // with the worker's memory: it is certainly not running there.
  for (const auto& [id, task] : state_.tasks()) {
    const workers::attempt_id attempt{id, task.attempt};
    const bool unknown =
        std::find(reported.begin(), reported.end(), attempt) == reported.end();
    if (task.worker_id == worker_id && unknown) {
      ended.emplace_back(scheduling::attempt_ended{
          id, task.attempt, scheduling::attempt_outcome::kLost});
    }
  }
  BOOST_OUTCOME_TRY(Record(std::move(ended)));
  links_[worker_id].acknowledged = std::move(acknowledged);
  return base::Success();
}

base::result<void> shard_runner::RecordLost() {
  const base::time_point now = clock_.Now();
  std::vector<scheduling::event> lost;
  for (const auto& [id, task] : state_.tasks()) {
    if (task.worker_id.empty())
      continue;
    const base::time_point over = links_[task.worker_id].last_sent +
                                  settings_.task_lease + settings_.clock_margin;
    if (now > over) {
      lost.emplace_back(scheduling::attempt_ended{
          id, task.attempt, scheduling::attempt_outcome::kLost});
    }
  }
  return Record(std::move(lost));
}

base::result<void> shard_runner::StartPlanned() {
  std::vector<scheduling::worker_view> ready;
  for (const auto& [id, link] : links_) {
    if (link.takes_tasks && link.synced)
      ready.push_back({id, link.capacity});
  }
  const auto starts = scheduling::PlanStarts(state_, ready);
  std::vector<scheduling::event> events(starts.begin(), starts.end());
  BOOST_OUTCOME_TRY(Record(std::move(events)));
  // Recording may have waited past the lease.
  BOOST_OUTCOME_TRY(CheckHolds());
  for (const scheduling::attempt_started& start : starts)
    SendStart(start);
  return base::Success();
}

void shard_runner::SendStart(const scheduling::attempt_started& start) {
  worker_link& link = links_[start.worker_id];
  const scheduling::task_request& request = state_.Find(start.task_id)->request;
  link.last_sent = clock_.Now();
  // When the answer is lost the next sync tells whether it runs.
  static_cast<void>(agents_.Start(link.agent, {epoch_,
                                               {start.task_id, start.attempt},
                                               request.template_name,
                                               request.demand,
                                               request.run_time,
                                               settings_.task_lease}));
}

std::vector<workers::attempt_id> shard_runner::AttemptsOn(
    const std::string& worker_id,
    bool cancelled) const {
  std::vector<workers::attempt_id> attempts;
  for (const auto& [id, task] : state_.tasks()) {
    const bool is_cancelled = task.state == scheduling::task_state::kCancelled;
    if (task.worker_id == worker_id && is_cancelled == cancelled)
      attempts.push_back({id, task.attempt});
  }
  return attempts;
}

}  // namespace chivecrank::shards
