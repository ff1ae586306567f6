#include "chivecrank/scheduling/event_codec.h"

#include <array>
#include <string>

namespace chivecrank::scheduling {
namespace {

using http::json_object;

constexpr char kKind[] = "kind";
constexpr char kAccepted[] = "task_accepted";
constexpr char kStarted[] = "attempt_started";
constexpr char kEnded[] = "attempt_ended";
constexpr char kConfirmed[] = "attempt_confirmed";
constexpr char kThrottled[] = "attempt_throttled";
constexpr char kCheckpoint[] = "checkpoint_ordered";
constexpr char kParked[] = "task_parked";
constexpr char kReleased[] = "task_released";
constexpr char kCancelled[] = "task_cancelled";

constexpr std::array kOutcomes = {
    attempt_outcome::kDone,    attempt_outcome::kFailed,
    attempt_outcome::kLost,    attempt_outcome::kStopped,
    attempt_outcome::kCrashed, attempt_outcome::kOutOfMemory};

base::error Corrupt(const std::string& detail) {
  return {base::error_kind::kCorrupt, "a journal event " + detail,
          "run the program version that wrote it"};
}

json_object NewObject(const char* kind) {
  json_object encoded = new Poco::JSON::Object;
  encoded->set(kKind, std::string(kind));
  return encoded;
}

Poco::Int64 MillisecondsOf(base::wall_time time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

json_object NewObject(const char* kind, const std::string& task_id) {
  json_object encoded = NewObject(kind);
  encoded->set("task", task_id);
  return encoded;
}

json_object NewObject(const char* kind,
                      const std::string& task_id,
                      std::int32_t attempt) {
  json_object encoded = NewObject(kind, task_id);
  encoded->set("attempt", attempt);
  return encoded;
}

void SetResources(json_object& encoded, const coordination::resources& of) {
  encoded->set("processors_milli", of.processors_milli);
  encoded->set("memory_mib", of.memory_mib);
  encoded->set("accelerators", of.accelerators);
}

coordination::resources ResourcesOf(const json_object& encoded) {
  return {http::IntegerOf(encoded, "processors_milli"),
          http::IntegerOf(encoded, "memory_mib"),
          http::IntegerOf(encoded, "accelerators")};
}

json_object Encode(const task_accepted& recorded) {
  const task_request& request = recorded.request;
  json_object encoded = NewObject(kAccepted, request.id);
  encoded->set("account", request.account);
  encoded->set("team", request.team);
  encoded->set("template", request.template_name);
  SetResources(encoded, request.demand);
  encoded->set("run_time_ms",
               static_cast<Poco::Int64>(request.run_time.count()));
  encoded->set("urgent", request.urgent);
  encoded->set("attempt_limit", request.attempt_limit);
  encoded->set("service", request.kind == task_kind::kService);
  encoded->set("checkpoints", request.checkpoints);
  encoded->set("due_ms", MillisecondsOf(request.due));
  if (!request.gang.empty()) {
    encoded->set("gang", request.gang);
    encoded->set("gang_size", request.gang_size);
  }
  return encoded;
}

json_object Encode(const attempt_started& recorded) {
  json_object encoded = NewObject(kStarted, recorded.task_id, recorded.attempt);
  encoded->set("worker", recorded.worker_id);
  if (recorded.granted)
    SetResources(encoded, *recorded.granted);
  return encoded;
}

json_object Encode(const attempt_confirmed& recorded) {
  return NewObject(kConfirmed, recorded.task_id, recorded.attempt);
}

json_object Encode(const attempt_throttled& recorded) {
  json_object encoded =
      NewObject(kThrottled, recorded.task_id, recorded.attempt);
  encoded->set("throttled", recorded.throttled);
  return encoded;
}

json_object Encode(const checkpoint_ordered& recorded) {
  json_object encoded =
      NewObject(kCheckpoint, recorded.task_id, recorded.attempt);
  encoded->set("grace_ms", static_cast<Poco::Int64>(recorded.grace.count()));
  return encoded;
}

json_object Encode(const attempt_ended& recorded) {
  json_object encoded = NewObject(kEnded, recorded.task_id, recorded.attempt);
  encoded->set("outcome", std::string(AttemptOutcomeName(recorded.outcome)));
  if (recorded.saved_run_time.count() > 0)
    encoded->set("saved_ms",
                 static_cast<Poco::Int64>(recorded.saved_run_time.count()));
  return encoded;
}

json_object Encode(const task_parked& recorded) {
  json_object encoded = NewObject(kParked, recorded.task_id);
  encoded->set("reason", recorded.reason);
  return encoded;
}

json_object Encode(const task_released& recorded) {
  return NewObject(kReleased, recorded.task_id);
}

json_object Encode(const task_cancelled& recorded) {
  return NewObject(kCancelled, recorded.task_id);
}

task_accepted DecodeAccepted(const json_object& encoded) {
  task_request request;
  request.id = http::StringOf(encoded, "task");
  request.account = http::StringOf(encoded, "account");
  request.team = http::StringOf(encoded, "team");
  request.template_name = http::StringOf(encoded, "template");
  request.demand = ResourcesOf(encoded);
  request.run_time =
      std::chrono::milliseconds(http::IntegerOf(encoded, "run_time_ms"));
  request.urgent = http::BooleanOf(encoded, "urgent");
  request.attempt_limit = http::IntegerOf(encoded, "attempt_limit", 1);
  if (http::BooleanOf(encoded, "service"))
    request.kind = task_kind::kService;
  request.checkpoints = http::BooleanOf(encoded, "checkpoints");
  request.due = base::wall_time(
      std::chrono::milliseconds(http::IntegerOf(encoded, "due_ms")));
  request.gang = http::StringOf(encoded, "gang");
  request.gang_size = http::IntegerOf(encoded, "gang_size", 1);
  return {request};
}

std::int32_t AttemptOf(const json_object& encoded) {
  return static_cast<std::int32_t>(http::IntegerOf(encoded, "attempt"));
}

attempt_started DecodeStarted(const json_object& encoded) {
  attempt_started started{http::StringOf(encoded, "task"), AttemptOf(encoded),
                          http::StringOf(encoded, "worker")};
  if (encoded->has("processors_milli"))
    started.granted = ResourcesOf(encoded);
  return started;
}

base::result<event> DecodeEnded(const json_object& encoded) {
  const std::string name = http::StringOf(encoded, "outcome");
  for (const attempt_outcome outcome : kOutcomes) {
    if (AttemptOutcomeName(outcome) == name) {
      return event(attempt_ended{
          http::StringOf(encoded, "task"), AttemptOf(encoded), outcome,
          std::chrono::milliseconds(http::IntegerOf(encoded, "saved_ms"))});
    }
  }
  return Corrupt("has the unknown outcome \"" + name + "\"");
}

}  // namespace

json_object EncodeEvent(const event& recorded) {
  return std::visit([](const auto& known) { return Encode(known); }, recorded);
}

base::result<event> DecodeEvent(const json_object& encoded) {
  const std::string kind = http::StringOf(encoded, kKind);
  const std::string task_id = http::StringOf(encoded, "task");
  if (task_id.empty())
    return Corrupt("of kind \"" + kind + "\" names no task");
  if (kind == kAccepted)
    return event(DecodeAccepted(encoded));
  if (kind == kStarted)
    return event(DecodeStarted(encoded));
  if (kind == kConfirmed)
    return event(attempt_confirmed{task_id, AttemptOf(encoded)});
  if (kind == kThrottled) {
    return event(attempt_throttled{task_id, AttemptOf(encoded),
                                   http::BooleanOf(encoded, "throttled")});
  }
  if (kind == kCheckpoint) {
    return event(checkpoint_ordered{
        task_id, AttemptOf(encoded),
        std::chrono::milliseconds(http::IntegerOf(encoded, "grace_ms"))});
  }
  if (kind == kEnded)
    return DecodeEnded(encoded);
  if (kind == kParked)
    return event(task_parked{task_id, http::StringOf(encoded, "reason")});
  if (kind == kReleased)
    return event(task_released{task_id});
  if (kind == kCancelled)
    return event(task_cancelled{task_id});
  return Corrupt("has the unknown kind \"" + kind + "\"");
}

}  // namespace chivecrank::scheduling
