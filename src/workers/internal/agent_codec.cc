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

/// Leaves empty lists out: most syncs carry nothing.
template <class Item, class Encode>
void SetList(const std::string& key,
             const std::vector<Item>& items,
             const Encode& encode,
             json_object& target) {
  if (items.empty())
    return;
  http::json_array encoded = new Poco::JSON::Array;
  for (const Item& item : items)
    encoded->add(encode(item));
  target->set(key, encoded);
}

template <class Item, class Decode>
std::vector<Item> ListOf(const json_object& encoded,
                         const std::string& key,
                         const Decode& decode) {
  std::vector<Item> items;
  const http::json_array list = http::ArrayOf(encoded, key);
  for (unsigned i = 0; i < list->size(); ++i) {
    if (list->isObject(i))
      items.push_back(decode(list->getObject(i)));
  }
  return items;
}

json_object EncodeAttempt(const attempt_id& attempt) {
  json_object encoded = NewObject();
  SetAttempt(attempt, encoded);
  return encoded;
}

void SetText(const std::string& key,
             const std::string& value,
             json_object& target) {
  if (!value.empty())
    target->set(key, value);
}

void SetSaved(std::chrono::milliseconds saved, json_object& target) {
  if (saved.count() > 0)
    target->set("saved_ms", static_cast<Poco::Int64>(saved.count()));
}

std::chrono::milliseconds SavedOf(const json_object& encoded) {
  return std::chrono::milliseconds(http::IntegerOf(encoded, "saved_ms"));
}

json_object EncodeStart(const start_command& command) {
  json_object encoded = EncodeAttempt(command.attempt);
  encoded->set("template", command.template_name);
  encoded->set("processors_milli", command.demand.processors_milli);
  encoded->set("memory_mib", command.demand.memory_mib);
  if (command.demand.accelerators != 0)
    encoded->set("accelerators", command.demand.accelerators);
  encoded->set("run_time_ms",
               static_cast<Poco::Int64>(command.run_time.count()));
  SetSaved(command.saved, encoded);
  return encoded;
}

start_command DecodeStart(const json_object& encoded) {
  return {AttemptOf(encoded),
          http::StringOf(encoded, "template"),
          {http::IntegerOf(encoded, "processors_milli"),
           http::IntegerOf(encoded, "memory_mib"),
           http::IntegerOf(encoded, "accelerators")},
          std::chrono::milliseconds(http::IntegerOf(encoded, "run_time_ms")),
          SavedOf(encoded)};
}

json_object EncodeStop(const stop_command& command) {
  json_object encoded = EncodeAttempt(command.attempt);
  if (command.save)
    encoded->set("save", true);
  return encoded;
}

stop_command DecodeStop(const json_object& encoded) {
  return {AttemptOf(encoded), http::BooleanOf(encoded, "save")};
}

json_object EncodeAttemptReport(const attempt_report& report) {
  json_object encoded = EncodeAttempt(report.attempt);
  encoded->set("state", std::string(AttemptStateName(report.state)));
  SetSaved(report.saved, encoded);
  return encoded;
}

std::uint64_t NumberOf(const json_object& encoded, const std::string& key) {
  return static_cast<std::uint64_t>(http::IntegerOf(encoded, key));
}

}  // namespace

json_object EncodeSync(const sync_command& command) {
  json_object encoded = NewObject();
  encoded->set("epoch", command.order.epoch);
  encoded->set("number", command.order.number);
  encoded->set("answered", command.order.last_answered);
  SetText("incarnation", command.order.incarnation, encoded);
  encoded->set("term_ms", static_cast<Poco::Int64>(command.term.count()));
  encoded->set("position", command.position);
  SetList("starts", command.starts, EncodeStart, encoded);
  SetList("stops", command.stops, EncodeStop, encoded);
  SetList("acknowledged", command.acknowledged, EncodeAttempt, encoded);
  return encoded;
}

sync_command DecodeSync(const json_object& encoded) {
  return {
      {NumberOf(encoded, "epoch"), NumberOf(encoded, "number"),
       NumberOf(encoded, "answered"), http::StringOf(encoded, "incarnation")},
      std::chrono::milliseconds(http::IntegerOf(encoded, "term_ms")),
      NumberOf(encoded, "position"),
      ListOf<start_command>(encoded, "starts", DecodeStart),
      ListOf<stop_command>(encoded, "stops", DecodeStop),
      ListOf<attempt_id>(encoded, "acknowledged", AttemptOf)};
}

json_object EncodeReport(const sync_report& report) {
  json_object encoded = NewObject();
  encoded->set("incarnation", report.incarnation);
  if (report.full)
    encoded->set("full", true);
  encoded->set("position", report.position);
  SetList("attempts", report.attempts, EncodeAttemptReport, encoded);
  return encoded;
}

base::result<sync_report> DecodeReport(const json_object& encoded) {
  sync_report report;
  report.incarnation = http::StringOf(encoded, "incarnation");
  if (report.incarnation.empty()) {
    return base::error{base::error_kind::kInvalidArgument,
                       "a worker's report names no incarnation",
                       "check the version of its agent"};
  }
  report.full = http::BooleanOf(encoded, "full");
  report.position = NumberOf(encoded, "position");
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
    report.attempts.push_back({AttemptOf(item), *state, SavedOf(item)});
  }
  return report;
}

}  // namespace chivecrank::workers
