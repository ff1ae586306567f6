#include "chivecrank/json/reader.h"

#include <rapidjson/error/en.h>

#include <cmath>

namespace chivecrank::json {
namespace {

/// Above this, a double does not tell neighbouring integers apart.
constexpr double kMaxExactDouble = 9007199254740992;

/// Also accepts integers that are written as floating-point numbers, such as
/// 3.0.
std::int64_t ToInteger(const value& number, std::int64_t fallback) {
  if (number.IsInt64())
    return number.GetInt64();
  if (!number.IsDouble())
    return fallback;
  const double number_value = number.GetDouble();
  // Also excludes infinities and values that are not numbers.
  const bool in_range = std::abs(number_value) < kMaxExactDouble;
  if (!in_range || std::floor(number_value) != number_value)
    return fallback;
  return static_cast<std::int64_t>(number_value);
}

}  // namespace

base::result<document> ParseObject(std::string_view text) {
  document parsed;
  parsed.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (parsed.HasParseError()) {
    return base::error{base::error_kind::kInvalidArgument,
                       std::string("not JSON: ") +
                           rapidjson::GetParseError_En(parsed.GetParseError()) +
                           " at byte " +
                           std::to_string(parsed.GetErrorOffset()),
                       "send a JSON object"};
  }
  if (!parsed.IsObject()) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the JSON text is not an object", "send a JSON object"};
  }
  return parsed;
}

const value* MemberOf(const value& object, const char* key) {
  if (!object.IsObject())
    return nullptr;
  const auto found = object.FindMember(key);
  return found == object.MemberEnd() ? nullptr : &found->value;
}

std::string StringOf(const value& object,
                     const char* key,
                     std::string_view fallback) {
  const value* member = MemberOf(object, key);
  if (member == nullptr || !member->IsString())
    return std::string(fallback);
  return {member->GetString(), member->GetStringLength()};
}

std::int64_t IntegerOf(const value& object,
                       const char* key,
                       std::int64_t fallback) {
  const value* member = MemberOf(object, key);
  return member == nullptr ? fallback : ToInteger(*member, fallback);
}

double NumberOf(const value& object, const char* key, double fallback) {
  const value* member = MemberOf(object, key);
  return member == nullptr || !member->IsNumber() ? fallback
                                                  : member->GetDouble();
}

bool BooleanOf(const value& object, const char* key, bool fallback) {
  const value* member = MemberOf(object, key);
  return member == nullptr || !member->IsBool() ? fallback : member->GetBool();
}

const value* ArrayOf(const value& object, const char* key) {
  const value* member = MemberOf(object, key);
  return member == nullptr || !member->IsArray() ? nullptr : member;
}

const value* ObjectOf(const value& object, const char* key) {
  const value* member = MemberOf(object, key);
  return member == nullptr || !member->IsObject() ? nullptr : member;
}

std::string StringAt(const value& array, std::size_t index) {
  if (!array.IsArray() || index >= array.Size())
    return {};
  const value& element = array[static_cast<rapidjson::SizeType>(index)];
  if (!element.IsString())
    return {};
  return {element.GetString(), element.GetStringLength()};
}

std::int64_t IntegerAt(const value& array,
                       std::size_t index,
                       std::int64_t fallback) {
  if (!array.IsArray() || index >= array.Size())
    return fallback;
  return ToInteger(array[static_cast<rapidjson::SizeType>(index)], fallback);
}

}  // namespace chivecrank::json
