#ifndef CHIVECRANK_JSON_READER_H_
#define CHIVECRANK_JSON_READER_H_

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/result.h"

/// Compact JSON for hot paths, over RapidJSON.
namespace chivecrank::json {

using document = rapidjson::Document;
using value = rapidjson::Value;

/// Parses a JSON object. kInvalidArgument when `text` is none.
base::result<document> ParseObject(std::string_view text);

/// Members of an object; a missing one or one of another type reads as the
/// fallback.
std::string StringOf(const value& object,
                     const char* key,
                     std::string_view fallback = {});
std::int64_t IntegerOf(const value& object,
                       const char* key,
                       std::int64_t fallback = 0);
double NumberOf(const value& object, const char* key, double fallback = 0);
bool BooleanOf(const value& object, const char* key, bool fallback = false);

/// The member as an array or object; null when it is absent or something
/// else.
const value* ArrayOf(const value& object, const char* key);
const value* ObjectOf(const value& object, const char* key);

/// The member whatever its type; null when it is absent.
const value* MemberOf(const value& object, const char* key);

/// An element of an array; the fallback when it is absent or of another type.
std::string StringAt(const value& array, std::size_t index);
std::int64_t IntegerAt(const value& array,
                       std::size_t index,
                       std::int64_t fallback = 0);

}  // namespace chivecrank::json

#endif  // CHIVECRANK_JSON_READER_H_
