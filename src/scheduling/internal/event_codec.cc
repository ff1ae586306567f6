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
constexpr char kCancelled[] = "task_cancelled";

constexpr std::array kOutcomes = {
    attempt_outcome::kDone, attempt_outcome::kFailed, attempt_outcome::kLost,
    attempt_outcome::kStopped};

base::error Corrupt(const std::string& detail) {
  return {base::error_kind::kCorrupt, "a journal event " + detail,
          "run the program version that wrote it"};
}

json_object NewObject(const char* kind) {
  json_object encoded = new Poco::JSON::Object;
  encoded->set(kKind, std::string(kind));
  return encoded;
}

json_object Encode(const task_accepted& recorded) {
  const task_request& request = recorded.request;
  json_object encoded = NewObject(kAccepted);
  encoded->set("task", request.id);
  encoded->set("account", request.account);
  encoded->set("team", request.team);
  encoded->set("template", request.template_name);
  encoded->set("processors_milli", request.demand.processors_milli);
  encoded->set("memory_mib", request.demand.memory_mib);
  encoded->set("accelerators", request.demand.accelerators);
  encoded->set("run_time_ms",
               static_cast<Poco::Int64>(request.run_time.count()));
  encoded->set("urgent", request.urgent);
  encoded->set("attempt_limit", request.attempt_limit);
  return encoded;
}

json_object Encode(const attempt_started& recorded) {
  json_object encoded = NewObject(kStarted);
  encoded->set("task", recorded.task_id);
  encoded->set("attempt", recorded.attempt);
  encoded->set("worker", recorded.worker_id);
  return encoded;
}

json_object Encode(const attempt_ended& recorded) {
  json_object encoded = NewObject(kEnded);
  encoded->set("task", recorded.task_id);
  encoded->set("attempt", recorded.attempt);
  encoded->set("outcome", std::string(AttemptOutcomeName(recorded.outcome)));
  return encoded;
}

json_object Encode(const task_cancelled& recorded) {
  json_object encoded = NewObject(kCancelled);
  encoded->set("task", recorded.task_id);
  return encoded;
}

task_accepted DecodeAccepted(const json_object& encoded) {
  task_request request;
  request.id = http::StringOf(encoded, "task");
  request.account = http::StringOf(encoded, "account");
  request.team = http::StringOf(encoded, "team");
  request.template_name = http::StringOf(encoded, "template");
  request.demand = {http::IntegerOf(encoded, "processors_milli"),
                    http::IntegerOf(encoded, "memory_mib"),
                    http::IntegerOf(encoded, "accelerators")};
  request.run_time =
      std::chrono::milliseconds(http::IntegerOf(encoded, "run_time_ms"));
  request.urgent = http::BooleanOf(encoded, "urgent");
  request.attempt_limit = http::IntegerOf(encoded, "attempt_limit", 1);
  return {request};
}

std::int32_t AttemptOf(const json_object& encoded) {
  return static_cast<std::int32_t>(http::IntegerOf(encoded, "attempt"));
}

base::result<event> DecodeEnded(const json_object& encoded) {
  const std::string name = http::StringOf(encoded, "outcome");
  for (const attempt_outcome outcome : kOutcomes) {
    if (AttemptOutcomeName(outcome) == name) {
      return event(attempt_ended{http::StringOf(encoded, "task"),
                                 AttemptOf(encoded), outcome});
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
  if (http::StringOf(encoded, "task").empty())
    return Corrupt("of kind \"" + kind + "\" names no task");
  if (kind == kAccepted)
    return event(DecodeAccepted(encoded));
  if (kind == kStarted) {
    return event(attempt_started{http::StringOf(encoded, "task"),
                                 AttemptOf(encoded),
                                 http::StringOf(encoded, "worker")});
  }
  if (kind == kEnded)
    return DecodeEnded(encoded);
  if (kind == kCancelled)
    return event(task_cancelled{http::StringOf(encoded, "task")});
  return Corrupt("has the unknown kind \"" + kind + "\"");
}

}  // namespace chivecrank::scheduling
