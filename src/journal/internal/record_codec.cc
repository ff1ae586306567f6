#include "chivecrank/journal/record_codec.h"

#include "chivecrank/http/json.h"
#include "chivecrank/scheduling/event_codec.h"

namespace chivecrank::journal {
namespace {

constexpr int kFormatVersion = 1;

base::error Corrupt(const std::string& detail) {
  return {base::error_kind::kCorrupt, "a journal record " + detail,
          "run the program version that wrote it, or restore the record"};
}

}  // namespace

std::string EncodeRecord(const record& written) {
  http::json_array events = new Poco::JSON::Array;
  for (const scheduling::event& recorded : written.events)
    events->add(scheduling::EncodeEvent(recorded));
  http::json_object encoded = new Poco::JSON::Object;
  encoded->set("format", kFormatVersion);
  encoded->set("sequence", written.sequence);
  encoded->set("epoch", written.epoch);
  encoded->set("writer", written.writer);
  encoded->set("events", events);
  return http::ToText(encoded);
}

base::result<record> DecodeRecord(std::string_view text) {
  const auto parsed = http::ParseObject(text);
  if (!parsed.has_value())
    return Corrupt("is not JSON");
  const http::json_object& encoded = parsed.value();
  const std::int64_t format = http::IntegerOf(encoded, "format");
  if (format != kFormatVersion)
    return Corrupt("has the unknown format " + std::to_string(format));
  record read;
  read.sequence = static_cast<sequence>(http::IntegerOf(encoded, "sequence"));
  read.epoch = static_cast<epoch>(http::IntegerOf(encoded, "epoch"));
  read.writer = http::StringOf(encoded, "writer");
  const http::json_array events = http::ArrayOf(encoded, "events");
  for (unsigned i = 0; i < events->size(); ++i) {
    if (!events->isObject(i))
      return Corrupt("holds an event that is not an object");
    BOOST_OUTCOME_TRY(recorded, scheduling::DecodeEvent(events->getObject(i)));
    read.events.push_back(std::move(recorded));
  }
  return read;
}

}  // namespace chivecrank::journal
