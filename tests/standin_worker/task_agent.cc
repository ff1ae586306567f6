#include "task_agent.h"

#include <algorithm>

#include "chivecrank/workers/agent_codec.h"

namespace chivecrank::standin {
namespace {

using http::json_object;

json_object NewObject() {
  return new Poco::JSON::Object;
}

}  // namespace

task_agent::task_agent(base::clock& clock,
                       coordination::resources capacity,
                       std::string incarnation)
    : clock_(clock), capacity_(capacity), fence_(std::move(incarnation)) {}

http::response task_agent::Answer(const http::request& message) {
  const auto body =
      http::ParseObject(message.body.empty() ? "{}" : message.body);
  if (!body.has_value())
    return http::ErrorResponse(body.error());
  std::unique_lock lock(mutex_);
  thawed_.wait(lock, [this] { return !frozen_; });
  Elapse();
  const answer result = Route(message, body.value());
  if (result.has_value())
    return http::JsonResponse(http::status::kOk, result.value());
  return http::ErrorResponse(result.error());
}

task_agent::answer task_agent::Route(const http::request& message,
                                     const json_object& body) {
  const std::string_view path = message.Path();
  if (path == "/v1/tasks/sync")
    return Sync(workers::DecodeSync(body));
  if (path == "/control/account")
    return Account();
  if (path == "/control/freeze")
    return Freeze();
  return base::error{base::error_kind::kNotFound, "no such path",
                     "see docs/WIRE.md"};
}

task_agent::answer task_agent::Sync(const workers::sync_command& command) {
  const protocol::sync_outcome verdict =
      fence_.OnSync(command.order, clock_.Now(), command.term);
  if (verdict == protocol::sync_outcome::kFenced) {
    return base::error{base::error_kind::kFenced,
                       "a newer epoch leads this worker",
                       "stop acting for this shard"};
  }
  if (verdict == protocol::sync_outcome::kStale) {
    return base::error{base::error_kind::kConflict,
                       "a later sync has come already", "send the next one"};
  }
  for (const workers::attempt_id& ended : command.acknowledged)
    Forget(ended);
  for (const workers::stop_command& stop : command.stops)
    Stop(stop);
  if (verdict == protocol::sync_outcome::kRenewed) {
    for (const workers::start_command& start : command.starts)
      Start(start);
  }
  const bool same_run = command.order.incarnation == fence_.incarnation();
  return workers::EncodeReport(Report(same_run ? command.position : 0));
}

workers::sync_report task_agent::Report(std::uint64_t known_position) const {
  workers::sync_report report;
  report.incarnation = fence_.incarnation();
  report.full = known_position == 0;
  report.position = position_;
  for (const auto& [id, task] : tasks_) {
    if (task.changed > known_position)
      report.attempts.push_back({task.command.attempt, task.state, task.saved});
  }
  return report;
}

void task_agent::Forget(const workers::attempt_id& ended) {
  const auto known = tasks_.find(ended.task_id);
  if (known != tasks_.end() && known->second.command.attempt == ended &&
      known->second.state != workers::attempt_state::kRunning) {
    tasks_.erase(known);
  }
}

void task_agent::Start(const workers::start_command& command) {
  const auto known = tasks_.find(command.attempt.task_id);
  if (known != tasks_.end() &&
      known->second.command.attempt.attempt >= command.attempt.attempt) {
    return;
  }
  const base::time_point now = clock_.Now();
  tasks_[command.attempt.task_id] = {command,
                                     workers::attempt_state::kRunning,
                                     now + command.run_time - command.saved,
                                     now,
                                     ++position_,
                                     command.saved};
  records_.push_back({command.attempt,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          clock_.WallNow().time_since_epoch())
                          .count(),
                      0, workers::attempt_state::kRunning});
  NoteUse();
}

void task_agent::NoteUse() {
  coordination::resources use;
  for (const auto& [id, task] : tasks_) {
    if (task.state != workers::attempt_state::kRunning)
      continue;
    use.processors_milli += task.command.demand.processors_milli;
    use.memory_mib += task.command.demand.memory_mib;
    use.accelerators += task.command.demand.accelerators;
  }
  highest_use_ = {std::max(highest_use_.processors_milli, use.processors_milli),
                  std::max(highest_use_.memory_mib, use.memory_mib),
                  std::max(highest_use_.accelerators, use.accelerators)};
}

void task_agent::Stop(const workers::stop_command& command) {
  const auto known = tasks_.find(command.attempt.task_id);
  if (known == tasks_.end() ||
      known->second.command.attempt != command.attempt ||
      known->second.state != workers::attempt_state::kRunning) {
    return;
  }
  running_task& task = known->second;
  if (command.save) {
    const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.Now() - task.started);
    task.saved = task.command.saved + worked;
  }
  End(known->first, task, workers::attempt_state::kStopped, clock_.Now());
}

task_agent::answer task_agent::Freeze() {
  for (auto& [id, task] : tasks_)
    End(id, task, workers::attempt_state::kStopped, clock_.Now());
  frozen_ = true;
  return Account();
}

task_agent::answer task_agent::Account() const {
  http::json_array runs = new Poco::JSON::Array;
  for (const run_record& record : records_) {
    json_object item = NewObject();
    item->set("task", record.attempt.task_id);
    item->set("attempt", record.attempt.attempt);
    item->set("from_ms", record.from_ms);
    item->set("to_ms", record.to_ms);
    item->set("state", std::string(workers::AttemptStateName(record.state)));
    runs->add(item);
  }
  const bool overcommitted =
      highest_use_.processors_milli > capacity_.processors_milli ||
      highest_use_.memory_mib > capacity_.memory_mib ||
      highest_use_.accelerators > capacity_.accelerators;
  json_object account = NewObject();
  account->set("runs", runs);
  account->set("overcommitted", overcommitted);
  account->set("last_start_ms", records_.empty() ? 0 : records_.back().from_ms);
  return account;
}

void task_agent::Elapse() {
  const base::time_point now = clock_.Now();
  for (auto& [id, task] : tasks_) {
    if (task.state != workers::attempt_state::kRunning)
      continue;
    const base::time_point over = std::min(task.ends, fence_.lease_expiry());
    if (now < over)
      continue;
    const bool done = task.ends <= fence_.lease_expiry();
    End(id, task,
        done ? workers::attempt_state::kDone : workers::attempt_state::kStopped,
        over);
  }
}

void task_agent::End(const std::string& task_id,
                     running_task& task,
                     workers::attempt_state state,
                     base::time_point at) {
  if (task.state != workers::attempt_state::kRunning)
    return;
  task.state = state;
  task.changed = ++position_;
  const auto ago =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - at);
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.WallNow().time_since_epoch());
  for (run_record& record : records_) {
    if (record.attempt.task_id == task_id &&
        record.attempt == task.command.attempt) {
      record.to_ms = (now - ago).count();
      record.state = state;
    }
  }
}

}  // namespace chivecrank::standin
