#include "chivecrank/json/writer.h"

namespace chivecrank::json {

writer::writer() : writer_(buffer_) {}

writer& writer::BeginObject() {
  writer_.StartObject();
  return *this;
}

writer& writer::EndObject() {
  writer_.EndObject();
  return *this;
}

writer& writer::BeginArray() {
  writer_.StartArray();
  return *this;
}

writer& writer::EndArray() {
  writer_.EndArray();
  return *this;
}

writer& writer::Key(std::string_view name) {
  writer_.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
  return *this;
}

writer& writer::String(std::string_view text) {
  writer_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return *this;
}

writer& writer::Integer(std::int64_t number) {
  writer_.Int64(number);
  return *this;
}

writer& writer::Number(double number) {
  writer_.Double(number);
  return *this;
}

writer& writer::Boolean(bool flag) {
  writer_.Bool(flag);
  return *this;
}

writer& writer::Field(std::string_view name, std::string_view text) {
  return Key(name).String(text);
}

writer& writer::Field(std::string_view name, std::int64_t number) {
  return Key(name).Integer(number);
}

writer& writer::Flag(std::string_view name, bool flag) {
  return Key(name).Boolean(flag);
}

std::string writer::Text() const {
  return {buffer_.GetString(), buffer_.GetSize()};
}

}  // namespace chivecrank::json
