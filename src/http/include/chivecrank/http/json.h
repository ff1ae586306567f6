#ifndef CHIVECRANK_HTTP_JSON_H_
#define CHIVECRANK_HTTP_JSON_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"

namespace chivecrank::http {

using json_object = Poco::JSON::Object::Ptr;
using json_array = Poco::JSON::Array::Ptr;

/// Parses a JSON object. kInvalidArgument when `text` isn't one.
base::result<json_object> ParseObject(std::string_view text);

/// Serializes an object without whitespace.
std::string ToText(const json_object& object);

/// Return the value of a member, or `fallback` when it is missing or of another
/// type.
std::string StringOf(const json_object& object,
                     const std::string& key,
                     std::string fallback = {});
std::int64_t IntegerOf(const json_object& object,
                       const std::string& key,
                       std::int64_t fallback = 0);
double NumberOf(const json_object& object,
                const std::string& key,
                double fallback = 0);
bool BooleanOf(const json_object& object,
               const std::string& key,
               bool fallback = false);
/// Null when the member is absent or of another type.
json_object ObjectOf(const json_object& object, const std::string& key);
/// An empty array when the member is absent or of another type.
json_array ArrayOf(const json_object& object, const std::string& key);

response JsonResponse(status code, const json_object& body);

/// Body {"error": kind, "message": ..., "remedy": ...} and the status of
/// StatusOf().
response ErrorResponse(const base::error& failure);

/// Inverse of ErrorResponse(); kInternal when `answer` doesn't hold an error.
base::error ErrorOf(const response& answer);

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_JSON_H_
