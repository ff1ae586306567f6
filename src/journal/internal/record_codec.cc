#include "chivecrank/journal/record_codec.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/StreamCopier.h>

#include <sstream>

#include "chivecrank/http/json.h"
#include "chivecrank/scheduling/event_codec.h"

namespace chivecrank::journal {
namespace {

constexpr int kFormatVersion = 1;

base::error Corrupt(const std::string& detail) {
  return {base::error_kind::kCorrupt, "a journal record " + detail,
          "run the program version that wrote it, or restore the record"};
}

/// Prefix of a record that is deflated and encoded in Base64.
constexpr char kDeflatedMarker = 'z';

/// Compresses and encodes a record. Events repeat their member names, so
/// compression saves most of the bytes.
std::string Deflate(const std::string& text) {
  std::ostringstream encoded_stream;
  Poco::Base64Encoder encoder(encoded_stream, Poco::BASE64_NO_PADDING);
  encoder.rdbuf()->setLineLength(0);
  Poco::DeflatingOutputStream deflater(encoder,
                                       Poco::DeflatingStreamBuf::STREAM_ZLIB);
  deflater << text;
  deflater.close();
  encoder.close();
  return kDeflatedMarker + encoded_stream.str();
}

base::result<std::string> Inflate(std::string_view text) {
  std::istringstream encoded_stream{std::string(text.substr(1))};
  Poco::Base64Decoder decoder(encoded_stream, Poco::BASE64_NO_PADDING);
  Poco::InflatingInputStream inflater(decoder,
                                      Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string plain;
  try {
    Poco::StreamCopier::copyToString(inflater, plain);
  } catch (const Poco::Exception& failure) {
    return Corrupt("can't be inflated: " + failure.displayText());
  }
  return plain;
}

base::result<record> DecodeText(std::string_view text);

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
  return Deflate(http::ToText(encoded));
}

base::result<record> DecodeRecord(std::string_view text) {
  if (text.empty() || text.front() != kDeflatedMarker)
    return Corrupt("has an unknown encoding");
  BOOST_OUTCOME_TRY(plain, Inflate(text));
  return DecodeText(plain);
}

namespace {

base::result<record> DecodeText(std::string_view text) {
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

}  // namespace

}  // namespace chivecrank::journal
