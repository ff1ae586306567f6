#include "chivecrank/workers/agent_codec.h"

namespace chivecrank::workers {
namespace {

using http::json_object;

json_object NewObject() {
  return new Poco::JSON::Object;
}

void SetAttempt(const attempt_id& attempt, json_object& target) {
  target->set("task", attempt.task_id);
  target->set("attempt", attempt.attempt);
}

attempt_id AttemptOf(const json_object& encoded) {
  return {http::StringOf(encoded, "task"),
          static_cast<std::int32_t>(http::IntegerOf(encoded, "attempt"))};
}

http::json_array EncodeAttempts(const std::vector<attempt_id>& attempts) {
  http::json_array encoded = new Poco::JSON::Array;
  for (const attempt_id& attempt : attempts) {
    json_object item = NewObject();
    SetAttempt(attempt, item);
    encoded->add(item);
  }
  return encoded;
}

std::vector<attempt_id> DecodeAttempts(const http::json_array& encoded) {
  std::vector<attempt_id> attempts;
  for (unsigned i = 0; i < encoded->size(); ++i)
    attempts.push_back(AttemptOf(encoded->getObject(i)));
  return attempts;
}

std::uint64_t EpochOf(const json_object& encoded) {
  return static_cast<std::uint64_t>(http::IntegerOf(encoded, "epoch"));
}

std::chrono::milliseconds DurationOf(const json_object& encoded,
                                     const std::string& key) {
  return std::chrono::milliseconds(http::IntegerOf(encoded, key));
}

}  // namespace

json_object EncodeStart(const start_command& command) {
  json_object encoded = NewObject();
  encoded->set("epoch", command.epoch);
  SetAttempt(command.attempt, encoded);
  encoded->set("template", command.template_name);
  encoded->set("processors_milli", command.demand.processors_milli);
  encoded->set("memory_mib", command.demand.memory_mib);
  encoded->set("accelerators", command.demand.accelerators);
  encoded->set("run_time_ms",
               static_cast<Poco::Int64>(command.run_time.count()));
  encoded->set("lease_ms", static_cast<Poco::Int64>(command.lease.count()));
  return encoded;
}

start_command DecodeStart(const json_object& encoded) {
  return {EpochOf(encoded),
          AttemptOf(encoded),
          http::StringOf(encoded, "template"),
          {http::IntegerOf(encoded, "processors_milli"),
           http::IntegerOf(encoded, "memory_mib"),
           http::IntegerOf(encoded, "accelerators")},
          DurationOf(encoded, "run_time_ms"),
          DurationOf(encoded, "lease_ms")};
}

json_object EncodeStop(const stop_command& command) {
  json_object encoded = NewObject();
  encoded->set("epoch", command.epoch);
  SetAttempt(command.attempt, encoded);
  return encoded;
}

stop_command DecodeStop(const json_object& encoded) {
  return {EpochOf(encoded), AttemptOf(encoded)};
}

json_object EncodeSync(const sync_command& command) {
  json_object encoded = NewObject();
  encoded->set("epoch", command.epoch);
  encoded->set("lease_ms", static_cast<Poco::Int64>(command.lease.count()));
  encoded->set("keep", EncodeAttempts(command.keep));
  encoded->set("acknowledged", EncodeAttempts(command.acknowledged));
  return encoded;
}

sync_command DecodeSync(const json_object& encoded) {
  return {EpochOf(encoded), DurationOf(encoded, "lease_ms"),
          DecodeAttempts(http::ArrayOf(encoded, "keep")),
          DecodeAttempts(http::ArrayOf(encoded, "acknowledged"))};
}

json_object EncodeInventory(const inventory& known) {
  http::json_array attempts = new Poco::JSON::Array;
  for (const attempt_report& report : known.attempts) {
    json_object item = NewObject();
    SetAttempt(report.attempt, item);
    item->set("state", std::string(AttemptStateName(report.state)));
    attempts->add(item);
  }
  json_object encoded = NewObject();
  encoded->set("attempts", attempts);
  return encoded;
}

base::result<inventory> DecodeInventory(const json_object& encoded) {
  inventory known;
  const http::json_array attempts = http::ArrayOf(encoded, "attempts");
  for (unsigned i = 0; i < attempts->size(); ++i) {
    const json_object item = attempts->getObject(i);
    const std::string name = http::StringOf(item, "state");
    const auto state = AttemptStateFromName(name);
    if (!state) {
      return base::error{base::error_kind::kInvalidArgument,
                         "a worker reports the unknown state \"" + name + "\"",
                         "check the version of its agent"};
    }
    known.attempts.push_back({AttemptOf(item), *state});
  }
  return known;
}

}  // namespace chivecrank::workers
