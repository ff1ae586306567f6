#ifndef CHIVECRANK_JSON_WRITER_H_
#define CHIVECRANK_JSON_WRITER_H_

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chivecrank::json {

/// Streaming writer of one JSON text. Begin and End calls must be balanced, and
/// within an object each value needs a preceding Key().
class writer {
 public:
  writer();
  writer(const writer&) = delete;
  writer& operator=(const writer&) = delete;

  writer& BeginObject();
  writer& EndObject();
  writer& BeginArray();
  writer& EndArray();
  writer& Key(std::string_view name);
  writer& String(std::string_view text);
  writer& Integer(std::int64_t number);
  writer& Number(double number);
  writer& Boolean(bool flag);

  /// Write a member of the innermost open object.
  writer& Field(std::string_view name, std::string_view text);
  writer& Field(std::string_view name, std::int64_t number);
  writer& Flag(std::string_view name, bool flag);

  std::string Text() const;

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

}  // namespace chivecrank::json

#endif  // CHIVECRANK_JSON_WRITER_H_
