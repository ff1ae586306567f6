#include "chivecrank/coordination/store_codec.h"

#include <string>

namespace chivecrank::coordination {
namespace {

using http::json_object;

constexpr std::int64_t kMaxPort = 65535;

json_object NewObject() {
  return new Poco::JSON::Object;
}

json_object EncodeEndpoint(const settings::endpoint& address) {
  json_object encoded = NewObject();
  encoded->set("host", address.host);
  encoded->set("port", static_cast<int>(address.port));
  return encoded;
}

settings::endpoint DecodeEndpoint(const json_object& encoded,
                                  const std::string& key) {
  const json_object address = http::ObjectOf(encoded, key);
  const std::int64_t port = http::IntegerOf(address, "port");
  if (port < 0 || port > kMaxPort)
    return {};
  return {http::StringOf(address, "host"), static_cast<std::uint16_t>(port)};
}

std::uint64_t UnsignedOf(const json_object& encoded, const std::string& key) {
  return static_cast<std::uint64_t>(http::IntegerOf(encoded, key));
}

}  // namespace

json_object EncodeEntry(const store_entry& entry) {
  json_object encoded = NewObject();
  encoded->set("key", entry.key);
  encoded->set("value", entry.value);
  encoded->set("version", entry.version);
  encoded->set("lease", entry.lease);
  return encoded;
}

store_entry DecodeEntry(const json_object& encoded) {
  return {http::StringOf(encoded, "key"), http::StringOf(encoded, "value"),
          UnsignedOf(encoded, "version"), UnsignedOf(encoded, "lease")};
}

json_object EncodePut(const put_request& write) {
  json_object encoded = NewObject();
  encoded->set("key", write.key);
  encoded->set("value", write.value);
  encoded->set("expected", write.expected);
  encoded->set("lease", write.lease);
  return encoded;
}

put_request DecodePut(const json_object& encoded) {
  return {http::StringOf(encoded, "key"), http::StringOf(encoded, "value"),
          UnsignedOf(encoded, "expected"), UnsignedOf(encoded, "lease")};
}

json_object EncodeListing(const store_listing& listing) {
  json_object encoded = NewObject();
  http::json_array entries = new Poco::JSON::Array;
  for (const store_entry& entry : listing.entries)
    entries->add(EncodeEntry(entry));
  encoded->set("entries", entries);
  encoded->set("revision", listing.revision);
  return encoded;
}

store_listing DecodeListing(const json_object& encoded) {
  store_listing listing;
  listing.revision = UnsignedOf(encoded, "revision");
  const http::json_array entries = http::ArrayOf(encoded, "entries");
  for (unsigned i = 0; i < entries->size(); ++i)
    listing.entries.push_back(DecodeEntry(entries->getObject(i)));
  return listing;
}

json_object EncodeWatchRequest(const watch_request& request) {
  json_object encoded = NewObject();
  encoded->set("prefix", request.prefix);
  encoded->set("after", request.after);
  encoded->set("wait_ms", static_cast<Poco::Int64>(request.wait.count()));
  return encoded;
}

watch_request DecodeWatchRequest(const json_object& encoded) {
  return {http::StringOf(encoded, "prefix"), UnsignedOf(encoded, "after"),
          std::chrono::milliseconds(http::IntegerOf(encoded, "wait_ms"))};
}

json_object EncodeWatchAnswer(const watch_answer& answer) {
  json_object encoded = NewObject();
  http::json_array changes = new Poco::JSON::Array;
  for (const store_change& change : answer.changes) {
    json_object item = EncodeEntry(change.entry);
    item->set("kind", std::string(ChangeKindName(change.kind)));
    item->set("revision", change.revision);
    changes->add(item);
  }
  encoded->set("changes", changes);
  encoded->set("revision", answer.revision);
  encoded->set("gap", answer.gap);
  return encoded;
}

watch_answer DecodeWatchAnswer(const json_object& encoded) {
  watch_answer answer;
  answer.revision = UnsignedOf(encoded, "revision");
  answer.gap = http::BooleanOf(encoded, "gap");
  const http::json_array changes = http::ArrayOf(encoded, "changes");
  for (unsigned i = 0; i < changes->size(); ++i) {
    const json_object item = changes->getObject(i);
    const bool put =
        http::StringOf(item, "kind") == ChangeKindName(change_kind::kPut);
    answer.changes.push_back({put ? change_kind::kPut : change_kind::kDelete,
                              DecodeEntry(item), UnsignedOf(item, "revision")});
  }
  return answer;
}

json_object EncodeInstance(const instance& entry) {
  json_object encoded = NewObject();
  encoded->set("id", entry.id);
  encoded->set("kind", std::string(InstanceKindName(entry.kind)));
  encoded->set("state", std::string(InstanceStateName(entry.state)));
  encoded->set("failure_domain", entry.failure_domain);
  encoded->set("rack", entry.rack);
  encoded->set("processors_milli", entry.capacity.processors_milli);
  encoded->set("memory_mib", entry.capacity.memory_mib);
  encoded->set("accelerators", entry.capacity.accelerators);
  encoded->set("slots", entry.slots);
  encoded->set("connections", entry.connections);
  encoded->set("service", EncodeEndpoint(entry.service));
  encoded->set("agent", EncodeEndpoint(entry.agent));
  encoded->set("scheduler", EncodeEndpoint(entry.scheduler));
  encoded->set("entry", EncodeEndpoint(entry.entry));
  return encoded;
}

base::result<instance> DecodeInstance(const json_object& encoded) {
  instance entry;
  entry.id = http::StringOf(encoded, "id");
  if (entry.id.empty()) {
    return base::error{base::error_kind::kInvalidArgument,
                       "an entry of the instance list has no id",
                       "check the platform's instance list"};
  }
  const bool system = http::StringOf(encoded, "kind") ==
                      InstanceKindName(instance_kind::kSystem);
  entry.kind = system ? instance_kind::kSystem : instance_kind::kWorker;
  const bool leaving = http::StringOf(encoded, "state") ==
                       InstanceStateName(instance_state::kLeaving);
  entry.state = leaving ? instance_state::kLeaving : instance_state::kLive;
  entry.failure_domain = http::StringOf(encoded, "failure_domain");
  entry.rack = http::StringOf(encoded, "rack");
  entry.capacity = {http::IntegerOf(encoded, "processors_milli"),
                    http::IntegerOf(encoded, "memory_mib"),
                    http::IntegerOf(encoded, "accelerators")};
  entry.slots = http::IntegerOf(encoded, "slots");
  entry.connections = http::IntegerOf(encoded, "connections");
  entry.service = DecodeEndpoint(encoded, "service");
  entry.agent = DecodeEndpoint(encoded, "agent");
  entry.scheduler = DecodeEndpoint(encoded, "scheduler");
  entry.entry = DecodeEndpoint(encoded, "entry");
  return entry;
}

}  // namespace chivecrank::coordination
