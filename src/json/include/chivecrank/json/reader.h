#ifndef CHIVECRANK_JSON_READER_H_
#define CHIVECRANK_JSON_READER_H_

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/result.h"

/// JSON reader and writer over RapidJSON, for code where speed matters.
namespace chivecrank::json {

using document = rapidjson::Document;
using value = rapidjson::Value;

/// Parses a JSON object. kInvalidArgument when `text` isn't one.
base::result<document> ParseObject(std::string_view text);

/// Return the value of a member, or `fallback` when it is missing or of another
/// type. IntegerOf also accepts numbers such as 3.0.
std::string StringOf(const value& object,
                     const char* key,
                     std::string_view fallback = {});
std::int64_t IntegerOf(const value& object,
                       const char* key,
                       std::int64_t fallback = 0);
double NumberOf(const value& object, const char* key, double fallback = 0);
bool BooleanOf(const value& object, const char* key, bool fallback = false);

/// Null when the member is missing or of another type.
const value* ArrayOf(const value& object, const char* key);
const value* ObjectOf(const value& object, const char* key);

/// A member of any type; null when it is missing.
const value* MemberOf(const value& object, const char* key);

/// Return an element of an array, or the fallback, for StringAt an empty
/// string, when it is missing or of another type.
std::string StringAt(const value& array, std::size_t index);
std::int64_t IntegerAt(const value& array,
                       std::size_t index,
                       std::int64_t fallback = 0);

}  // namespace chivecrank::json

#endif  // CHIVECRANK_JSON_READER_H_
