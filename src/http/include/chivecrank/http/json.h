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

/// Parses a JSON object. kInvalidArgument when `text` is none.
base::result<json_object> ParseObject(std::string_view text);

/// The object as compact text.
std::string ToText(const json_object& object);

/// Members of an object; a missing one or one of another type reads as the
/// fallback.
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

/// A JSON answer.
response JsonResponse(status code, const json_object& body);

/// {"error": kind, "message": ..., "remedy": ...} with the matching status.
response ErrorResponse(const base::error& failure);

/// The error that an ErrorResponse carries, for clients.
base::error ErrorOf(const response& answer);

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_JSON_H_
