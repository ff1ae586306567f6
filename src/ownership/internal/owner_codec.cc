#include "internal/owner_codec.h"

#include "chivecrank/http/json.h"

namespace chivecrank::ownership::internal {

std::string EncodeOwner(const owner& record) {
  http::json_object encoded = new Poco::JSON::Object;
  encoded->set("shard", record.shard);
  encoded->set("epoch", record.epoch);
  encoded->set("instance", record.instance);
  encoded->set("holder_key", record.holder_key);
  encoded->set("host", record.scheduler.host);
  encoded->set("port", static_cast<int>(record.scheduler.port));
  return http::ToText(encoded);
}

base::result<owner> DecodeOwner(std::string_view text) {
  const auto parsed = http::ParseObject(text);
  const base::error corrupt{base::error_kind::kCorrupt,
                            "an owner record is malformed",
                            "run the program version that wrote it"};
  if (!parsed.has_value())
    return corrupt;
  const http::json_object& encoded = parsed.value();
  owner record;
  record.shard = http::StringOf(encoded, "shard");
  record.epoch = static_cast<std::uint64_t>(http::IntegerOf(encoded, "epoch"));
  record.instance = http::StringOf(encoded, "instance");
  record.holder_key = http::StringOf(encoded, "holder_key");
  record.scheduler = {
      http::StringOf(encoded, "host"),
      static_cast<std::uint16_t>(http::IntegerOf(encoded, "port"))};
  if (record.shard.empty() || record.epoch == 0)
    return corrupt;
  return record;
}

}  // namespace chivecrank::ownership::internal
