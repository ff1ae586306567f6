#include "internal/log_codec.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>

#include <iterator>
#include <sstream>

#include "chivecrank/http/json.h"

namespace chivecrank::idempotency::internal {
namespace {

using http::json_array;
using http::json_object;

std::string ToBase64(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

std::string FromBase64(const std::string& text) {
  std::istringstream input(text);
  Poco::Base64Decoder decoder(input);
  return {std::istreambuf_iterator<char>(decoder), {}};
}

json_object EncodeAnswer(const http::response& answer) {
  json_array headers = new Poco::JSON::Array;
  for (const http::header& field : answer.headers) {
    json_array pair = new Poco::JSON::Array;
    pair->add(field.name);
    pair->add(field.value);
    headers->add(pair);
  }
  json_object encoded = new Poco::JSON::Object;
  encoded->set("code", answer.code);
  encoded->set("headers", headers);
  encoded->set("body", ToBase64(answer.body));
  return encoded;
}

http::response DecodeAnswer(const json_object& encoded) {
  http::response answer;
  answer.code = static_cast<int>(http::IntegerOf(encoded, "code"));
  const json_array headers = http::ArrayOf(encoded, "headers");
  for (unsigned i = 0; i < headers->size(); ++i) {
    const json_array pair = headers->getArray(i);
    if (pair)
      answer.headers.push_back(
          {pair->getElement<std::string>(0), pair->getElement<std::string>(1)});
  }
  answer.body = FromBase64(http::StringOf(encoded, "body"));
  return answer;
}

json_object EncodeEntry(const log_entry& entry) {
  json_object encoded = new Poco::JSON::Object;
  encoded->set("kind", std::string(LogEntryKindName(entry.kind)));
  encoded->set("id", entry.request_id);
  encoded->set("token", entry.token);
  encoded->set("hash", Poco::NumberFormatter::formatHex(entry.fingerprint));
  if (entry.kind == log_entry_kind::kCompleted)
    encoded->set("answer", EncodeAnswer(entry.answer));
  return encoded;
}

log_entry DecodeEntry(const json_object& encoded) {
  log_entry entry;
  entry.kind = LogEntryKindFromName(http::StringOf(encoded, "kind"));
  entry.request_id = http::StringOf(encoded, "id");
  entry.token = http::StringOf(encoded, "token");
  Poco::UInt64 hash = 0;
  Poco::NumberParser::tryParseHex64(http::StringOf(encoded, "hash"), hash);
  entry.fingerprint = hash;
  const json_object answer = http::ObjectOf(encoded, "answer");
  if (answer)
    entry.answer = DecodeAnswer(answer);
  return entry;
}

}  // namespace

std::string EncodeHead(const log_head& head) {
  json_array segments = new Poco::JSON::Array;
  for (const std::string& name : head.segments)
    segments->add(name);
  json_array entries = new Poco::JSON::Array;
  for (const log_entry& entry : head.entries)
    entries->add(EncodeEntry(entry));
  json_object encoded = new Poco::JSON::Object;
  encoded->set("epoch", head.epoch);
  encoded->set("writer", head.writer);
  encoded->set("write", head.write_number);
  encoded->set("closed", head.closed);
  encoded->set("segments", segments);
  encoded->set("entries", entries);
  return http::ToText(encoded);
}

base::result<log_head> DecodeHead(const std::string& value) {
  const auto parsed = http::ParseObject(value);
  if (!parsed.has_value()) {
    return base::error{base::error_kind::kCorrupt,
                       "a record of request keys can't be read",
                       "restore the value in the store"};
  }
  const json_object& encoded = parsed.value();
  log_head head;
  head.epoch = static_cast<std::uint64_t>(http::IntegerOf(encoded, "epoch"));
  head.writer = http::StringOf(encoded, "writer");
  head.write_number =
      static_cast<std::uint64_t>(http::IntegerOf(encoded, "write"));
  head.closed = http::BooleanOf(encoded, "closed");
  const json_array segments = http::ArrayOf(encoded, "segments");
  for (unsigned i = 0; i < segments->size(); ++i)
    head.segments.push_back(segments->getElement<std::string>(i));
  const json_array entries = http::ArrayOf(encoded, "entries");
  for (unsigned i = 0; i < entries->size(); ++i) {
    const json_object entry = entries->getObject(i);
    if (entry)
      head.entries.push_back(DecodeEntry(entry));
  }
  return head;
}

}  // namespace chivecrank::idempotency::internal
