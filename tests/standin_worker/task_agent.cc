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

task_agent::task_agent(base::clock& clock, platform::resources capacity)
    : clock_(clock), capacity_(capacity) {}

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
  if (path == "/v1/tasks/start")
    return Start(workers::DecodeStart(body));
  if (path == "/v1/tasks/stop")
    return Stop(workers::DecodeStop(body));
  if (path == "/v1/tasks/sync")
    return Sync(workers::DecodeSync(body));
  if (path == "/control/account")
    return Account();
  if (path == "/control/freeze")
    return Freeze();
  return base::error{base::error_kind::kNotFound, "no such path",
                     "see docs/WIRE.md"};
}

task_agent::answer task_agent::Start(const workers::start_command& command) {
  BOOST_OUTCOME_TRY(CheckEpoch(command.epoch));
  const auto known = tasks_.find(command.attempt.task_id);
  if (known != tasks_.end() &&
      known->second.command.attempt.attempt >= command.attempt.attempt) {
    return NewObject();
  }
  const base::time_point now = clock_.Now();
  tasks_[command.attempt.task_id] = {command, workers::attempt_state::kRunning,
                                     now + command.run_time,
                                     now + command.lease};
  records_.push_back({command.attempt,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          clock_.WallNow().time_since_epoch())
                          .count(),
                      0, workers::attempt_state::kRunning});
  platform::resources use;
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
  return NewObject();
}

task_agent::answer task_agent::Stop(const workers::stop_command& command) {
  BOOST_OUTCOME_TRY(CheckEpoch(command.epoch));
  const auto known = tasks_.find(command.attempt.task_id);
  if (known != tasks_.end() &&
      known->second.command.attempt == command.attempt) {
    End(known->first, known->second, workers::attempt_state::kStopped,
        clock_.Now());
  }
  return NewObject();
}

task_agent::answer task_agent::Sync(const workers::sync_command& command) {
  BOOST_OUTCOME_TRY(CheckEpoch(command.epoch));
  for (const workers::attempt_id& ended : command.acknowledged) {
    const auto known = tasks_.find(ended.task_id);
    if (known != tasks_.end() && known->second.command.attempt == ended &&
        known->second.state != workers::attempt_state::kRunning) {
      tasks_.erase(known);
    }
  }
  for (const workers::attempt_id& kept : command.keep) {
    const auto known = tasks_.find(kept.task_id);
    if (known != tasks_.end() && known->second.command.attempt == kept)
      known->second.lease_ends = clock_.Now() + command.lease;
  }
  workers::inventory all;
  for (const auto& [id, task] : tasks_)
    all.attempts.push_back({task.command.attempt, task.state});
  return workers::EncodeInventory(all);
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

base::result<void> task_agent::CheckEpoch(std::uint64_t epoch) {
  if (epoch < epoch_) {
    return base::error{base::error_kind::kFenced,
                       "a newer epoch leads this worker",
                       "stop acting for this shard"};
  }
  epoch_ = epoch;
  return base::Success();
}

void task_agent::Elapse() {
  const base::time_point now = clock_.Now();
  for (auto& [id, task] : tasks_) {
    if (task.state != workers::attempt_state::kRunning)
      continue;
    const base::time_point over = std::min(task.ends, task.lease_ends);
    if (now < over)
      continue;
    const bool done = task.ends <= task.lease_ends;
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
