#include "internal/worker_link.h"

#include <utility>

namespace chivecrank::shards::internal {
namespace {

using scheduling::attempt_outcome;
using scheduling::task;
using scheduling::task_state;

attempt_outcome OutcomeOf(workers::attempt_state state) {
  if (state == workers::attempt_state::kDone)
    return attempt_outcome::kDone;
  if (state == workers::attempt_state::kFailed)
    return attempt_outcome::kCrashed;
  return attempt_outcome::kStopped;
}

bool IsUnconfirmed(const task& known) {
  return known.state == task_state::kStarting ||
         known.state == task_state::kResuming;
}

scheduling::event LostAttempt(const std::string& task_id, const task& known) {
  return scheduling::attempt_ended{task_id, known.attempt,
                                   attempt_outcome::kLost};
}

}  // namespace

worker_link::worker_link(std::string worker_id,
                         std::uint64_t epoch,
                         protocol::lease_terms terms,
                         base::time_point opened)
    : worker_id_(std::move(worker_id)),
      lease_(epoch, terms, opened),
      terms_(terms) {}

workers::sync_command worker_link::NextSync(
    const scheduling::shard_state& state,
    event_position confirmed,
    bool may_start) {
  workers::sync_command command;
  command.order = lease_.NextSync();
  command.term = terms_.term;
  command.position = reported_position_;
  for (const std::string& id : state.OpenTasksOn(worker_id_)) {
    const task& known = *state.Find(id);
    const workers::attempt_id attempt{id, known.attempt};
    if (known.state == task_state::kCancelled ||
        known.state == task_state::kCheckpointing) {
      command.stops.push_back(
          {attempt, known.state == task_state::kCheckpointing});
      // The start will not be sent any more. Request a full report, which shows
      // whether an earlier sync delivered it.
      if (confirmed_starts_.erase(attempt) > 0)
        command.position = 0;
    } else if (may_start && confirmed_starts_.contains(attempt)) {
      command.starts.push_back({attempt, known.request.template_name,
                                known.granted, known.request.run_time,
                                known.saved_run_time});
    }
  }
  for (const workers::attempt_id& attempt : unwanted_)
    command.stops.push_back({attempt, false});
  for (const auto& [attempt, position] : ended_) {
    if (position <= confirmed)
      command.acknowledged.push_back(attempt);
  }
  return command;
}

std::vector<scheduling::event> worker_link::OnReport(
    const workers::sync_command& command,
    const workers::sync_report& report,
    const scheduling::shard_state& state,
    base::time_point now) {
  std::vector<scheduling::event> events;
  if (!lease_.OnAnswer(command.order.number, report.incarnation, now))
    return events;
  if (report.incarnation != incarnation_) {
    // State sent to an earlier run of the agent was lost with it.
    incarnation_ = report.incarnation;
    confirmed_starts_.clear();
    unwanted_.clear();
    ended_.clear();
  }
  for (const workers::attempt_id& forgotten : command.acknowledged)
    ended_.erase(forgotten);
  reported_position_ = report.position;
  for (const workers::attempt_report& reported : report.attempts) {
    if (const auto event = InterpretReport(reported, state))
      events.push_back(*event);
  }
  if (report.full) {
    for (scheduling::event& lost : FindUnreportedAttempts(report, state))
      events.push_back(std::move(lost));
  }
  return events;
}

std::optional<scheduling::event> worker_link::InterpretReport(
    const workers::attempt_report& report,
    const scheduling::shard_state& state) {
  const workers::attempt_id& attempt = report.attempt;
  confirmed_starts_.erase(attempt);
  const task* known = state.Find(attempt.task_id);
  const bool open = known != nullptr && known->worker_id == worker_id_ &&
                    known->attempt == attempt.attempt;
  if (report.state == workers::attempt_state::kRunning) {
    if (!open)
      unwanted_.insert(attempt);
    if (!open || !IsUnconfirmed(*known))
      return std::nullopt;
    return scheduling::attempt_confirmed{attempt.task_id, attempt.attempt};
  }
  unwanted_.erase(attempt);
  if (!open) {
    ended_.try_emplace(attempt, 0);
    return std::nullopt;
  }
  unstaged_.push_back(attempt);
  return scheduling::attempt_ended{attempt.task_id, attempt.attempt,
                                   OutcomeOf(report.state), report.saved};
}

std::vector<scheduling::event> worker_link::FindUnreportedAttempts(
    const workers::sync_report& report,
    const scheduling::shard_state& state) const {
  std::set<workers::attempt_id> reported;
  for (const workers::attempt_report& item : report.attempts)
    reported.insert(item.attempt);
  // The worker rejects earlier syncs, so an attempt missing from its report
  // neither runs nor will run, unless a later sync starts it.
  std::vector<scheduling::event> lost;
  for (const std::string& id : state.OpenTasksOn(worker_id_)) {
    const task& known = *state.Find(id);
    const workers::attempt_id attempt{id, known.attempt};
    const bool start_pending =
        confirmed_starts_.contains(attempt) || planned_.contains(attempt);
    if (!reported.contains(attempt) && !start_pending)
      lost.push_back(LostAttempt(id, known));
  }
  return lost;
}

void worker_link::OnStaged(event_position position) {
  for (const workers::attempt_id& attempt : unstaged_)
    ended_[attempt] = position;
  unstaged_.clear();
}

void worker_link::AddPlanned(const workers::attempt_id& attempt) {
  planned_.insert(attempt);
}

void worker_link::AddStart(const workers::attempt_id& attempt) {
  planned_.erase(attempt);
  confirmed_starts_.insert(attempt);
}

std::string worker_link::Fingerprint() const {
  const auto text_of = [](const workers::attempt_id& attempt) {
    return attempt.task_id + "#" + std::to_string(attempt.attempt) + ",";
  };
  std::string text = lease_.Fingerprint() + incarnation_ + "@" +
                     std::to_string(reported_position_);
  for (const workers::attempt_id& attempt : planned_)
    text += "p" + text_of(attempt);
  for (const workers::attempt_id& attempt : confirmed_starts_)
    text += "s" + text_of(attempt);
  for (const workers::attempt_id& attempt : unwanted_)
    text += "u" + text_of(attempt);
  for (const auto& [attempt, position] : ended_)
    text += "e" + std::to_string(position) + text_of(attempt);
  return text;
}

std::vector<scheduling::event> worker_link::TakeLostAttempts(
    const scheduling::shard_state& state,
    base::time_point now) {
  std::vector<scheduling::event> lost;
  if (!lease_.HasExpired(now))
    return lost;
  confirmed_starts_.clear();
  planned_.clear();
  for (const std::string& id : state.OpenTasksOn(worker_id_))
    lost.push_back(LostAttempt(id, *state.Find(id)));
  return lost;
}

}  // namespace chivecrank::shards::internal
