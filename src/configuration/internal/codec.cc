#include "chivecrank/configuration/codec.h"

#include <array>

#include "internal/object_reader.h"

namespace chivecrank::configuration {
namespace {

using http::json_array;
using http::json_object;
using internal::object_reader;

constexpr int kFormatVersion = 1;

json_object NewObject() {
  return new Poco::JSON::Object;
}

template <class T, class Encode>
json_array EncodeAll(const std::vector<T>& items, const Encode& encode) {
  json_array encoded = new Poco::JSON::Array;
  for (const T& item : items)
    encoded->add(encode(item));
  return encoded;
}

template <class Enum, std::size_t kCount>
Enum ReadEnum(object_reader& reader,
              const std::string& key,
              const std::array<Enum, kCount>& values,
              std::string_view (*name_of)(Enum)) {
  const std::string name = reader.String(key);
  std::string names;
  for (const Enum value : values) {
    if (name_of(value) == name)
      return value;
    names += names.empty() ? "" : ", ";
    names += name_of(value);
  }
  reader.Fail(key, "is \"" + name + "\" but must be one of " + names);
  return values[0];
}

constexpr std::array kParameterTypes = {parameter_type::kString,
                                        parameter_type::kInteger,
                                        parameter_type::kBoolean};
constexpr std::array kDrainScopes = {drain_scope::kWorker, drain_scope::kRack,
                                     drain_scope::kFailureDomain};

json_object EncodeDeclaration(const parameter_declaration& declared) {
  json_object encoded = NewObject();
  encoded->set("name", declared.name);
  encoded->set("type", std::string(ParameterTypeName(declared.type)));
  encoded->set("required", declared.required);
  encoded->set("default", declared.default_value);
  encoded->set("min", declared.min_value);
  encoded->set("max", declared.max_value);
  return encoded;
}

parameter_declaration DecodeDeclaration(object_reader& reader) {
  parameter_declaration declared;
  declared.name = reader.String("name");
  declared.type = ReadEnum(reader, "type", kParameterTypes, ParameterTypeName);
  declared.required = reader.BooleanOr("required", declared.required);
  declared.default_value = reader.StringOr("default", declared.default_value);
  declared.min_value = reader.IntegerOr("min", declared.min_value);
  declared.max_value = reader.IntegerOr("max", declared.max_value);
  return declared;
}

std::int64_t ToMilliseconds(std::chrono::milliseconds value) {
  return value.count();
}

std::chrono::milliseconds ReadDuration(object_reader& reader,
                                       const std::string& key,
                                       std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(reader.IntegerOr(key, fallback.count()));
}

json_object EncodeService(const service_template& service) {
  json_object encoded = NewObject();
  encoded->set("name", service.name);
  encoded->set("default_deadline_ms", ToMilliseconds(service.default_deadline));
  encoded->set("longest_deadline_ms", ToMilliseconds(service.longest_deadline));
  encoded->set("objective_ratio", service.objective_ratio);
  encoded->set("objective_latency_ms",
               ToMilliseconds(service.objective_latency));
  encoded->set("queue_limit", service.queue_limit);
  encoded->set("parameters", EncodeAll(service.parameters, EncodeDeclaration));
  return encoded;
}

service_template DecodeService(object_reader& reader) {
  service_template service;
  service.name = reader.String("name");
  service.default_deadline =
      ReadDuration(reader, "default_deadline_ms", service.default_deadline);
  service.longest_deadline =
      ReadDuration(reader, "longest_deadline_ms", service.longest_deadline);
  service.objective_ratio =
      reader.NumberOr("objective_ratio", service.objective_ratio);
  service.objective_latency =
      ReadDuration(reader, "objective_latency_ms", service.objective_latency);
  service.queue_limit = reader.IntegerOr("queue_limit", service.queue_limit);
  reader.ForEach("parameters", [&](object_reader& item) {
    service.parameters.push_back(DecodeDeclaration(item));
  });
  return service;
}

void EncodeResources(const coordination::resources& amount,
                     json_object& target) {
  target->set("processors_milli", amount.processors_milli);
  target->set("memory_mib", amount.memory_mib);
  target->set("accelerators", amount.accelerators);
}

coordination::resources DecodeResources(object_reader& reader) {
  return {reader.IntegerOr("processors_milli", 0),
          reader.IntegerOr("memory_mib", 0),
          reader.IntegerOr("accelerators", 0)};
}

json_object EncodeJob(const job_template& job) {
  json_object encoded = NewObject();
  encoded->set("name", job.name);
  EncodeResources(job.demand, encoded);
  encoded->set("run_time_ms", ToMilliseconds(job.run_time));
  encoded->set("finish_within_ms", ToMilliseconds(job.finish_within));
  encoded->set("urgent", job.urgent);
  encoded->set("checkpoints", job.checkpoints);
  encoded->set("gang_size", job.gang_size);
  encoded->set("attempt_limit", job.attempt_limit);
  encoded->set("parameters", EncodeAll(job.parameters, EncodeDeclaration));
  return encoded;
}

job_template DecodeJob(object_reader& reader) {
  job_template job;
  job.name = reader.String("name");
  job.demand = DecodeResources(reader);
  job.run_time = ReadDuration(reader, "run_time_ms", job.run_time);
  job.finish_within =
      ReadDuration(reader, "finish_within_ms", job.finish_within);
  job.urgent = reader.BooleanOr("urgent", job.urgent);
  job.checkpoints = reader.BooleanOr("checkpoints", job.checkpoints);
  job.gang_size = reader.IntegerOr("gang_size", job.gang_size);
  job.attempt_limit = reader.IntegerOr("attempt_limit", job.attempt_limit);
  reader.ForEach("parameters", [&](object_reader& item) {
    job.parameters.push_back(DecodeDeclaration(item));
  });
  return job;
}

json_object EncodeParameterValue(const parameter_value& given) {
  json_object encoded = NewObject();
  encoded->set("template", given.template_name);
  encoded->set("name", given.name);
  encoded->set("value", given.value);
  return encoded;
}

json_object EncodeAccount(const client_account& account) {
  json_object encoded = NewObject();
  encoded->set("name", account.name);
  encoded->set("team", account.team);
  encoded->set("token_hash", account.token_hash);
  encoded->set("weight", account.weight);
  encoded->set("request_limit", account.request_limit);
  encoded->set("parameters",
               EncodeAll(account.parameters, EncodeParameterValue));
  return encoded;
}

client_account DecodeAccount(object_reader& reader) {
  client_account account;
  account.name = reader.String("name");
  account.team = reader.String("team");
  account.token_hash = reader.String("token_hash");
  account.weight = reader.IntegerOr("weight", account.weight);
  account.request_limit =
      reader.IntegerOr("request_limit", account.request_limit);
  reader.ForEach("parameters", [&](object_reader& item) {
    account.parameters.push_back(
        {item.String("template"), item.String("name"), item.String("value")});
  });
  return account;
}

json_object EncodeTeam(const team& item) {
  json_object encoded = NewObject();
  encoded->set("name", item.name);
  EncodeResources(item.quota, encoded);
  return encoded;
}

json_object EncodeDrain(const drain& item) {
  json_object encoded = NewObject();
  encoded->set("scope", std::string(DrainScopeName(item.scope)));
  encoded->set("name", item.name);
  return encoded;
}

base::error CorruptError(const std::string& detail) {
  return {
      base::error_kind::kCorrupt, "the configuration record " + detail,
      "compare it with the history or run the program version that wrote it"};
}

}  // namespace

json_object EncodeContent(const content& all) {
  json_object encoded = NewObject();
  encoded->set("services", EncodeAll(all.services, EncodeService));
  encoded->set("jobs", EncodeAll(all.jobs, EncodeJob));
  encoded->set("accounts", EncodeAll(all.accounts, EncodeAccount));
  encoded->set("teams", EncodeAll(all.teams, EncodeTeam));
  encoded->set("drains", EncodeAll(all.drains, EncodeDrain));
  return encoded;
}

base::result<content> DecodeContent(const json_object& encoded) {
  content all;
  object_reader reader(encoded, "");
  reader.ForEach("services", [&](object_reader& item) {
    all.services.push_back(DecodeService(item));
  });
  reader.ForEach("jobs", [&](object_reader& item) {
    all.jobs.push_back(DecodeJob(item));
  });
  reader.ForEach("accounts", [&](object_reader& item) {
    all.accounts.push_back(DecodeAccount(item));
  });
  reader.ForEach("teams", [&](object_reader& item) {
    const std::string name = item.String("name");
    all.teams.push_back({name, DecodeResources(item)});
  });
  reader.ForEach("drains", [&](object_reader& item) {
    const drain_scope scope =
        ReadEnum(item, "scope", kDrainScopes, DrainScopeName);
    all.drains.push_back({scope, item.String("name")});
  });
  reader.RejectUnknown();
  if (reader.error())
    return *reader.error();
  return all;
}

std::string EncodeSnapshot(const snapshot& accepted) {
  json_object encoded = NewObject();
  encoded->set("format", kFormatVersion);
  encoded->set("revision", accepted.revision);
  encoded->set("author", accepted.author);
  encoded->set("accepted_at_ms", accepted.accepted_at_ms);
  encoded->set("write_id", accepted.write_id);
  encoded->set("comment", accepted.comment);
  encoded->set("content", EncodeContent(accepted.content));
  return http::ToText(encoded);
}

base::result<snapshot> DecodeSnapshot(std::string_view text) {
  const auto parsed = http::ParseObject(text);
  if (!parsed.has_value())
    return CorruptError("is not JSON");
  const json_object& encoded = parsed.value();
  const std::int64_t format = http::IntegerOf(encoded, "format");
  if (format != kFormatVersion)
    return CorruptError("has the unknown format " + std::to_string(format));
  const json_object all = http::ObjectOf(encoded, "content");
  if (!all)
    return CorruptError("has no content");
  auto decoded = DecodeContent(all);
  if (!decoded.has_value())
    return CorruptError("is invalid: " + decoded.error().message);
  snapshot accepted;
  accepted.revision =
      static_cast<revision>(http::IntegerOf(encoded, "revision"));
  accepted.author = http::StringOf(encoded, "author");
  accepted.accepted_at_ms = http::IntegerOf(encoded, "accepted_at_ms");
  accepted.write_id = http::StringOf(encoded, "write_id");
  accepted.comment = http::StringOf(encoded, "comment");
  accepted.content = std::move(decoded.value());
  return accepted;
}

}  // namespace chivecrank::configuration
