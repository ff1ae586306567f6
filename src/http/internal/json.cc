#include "chivecrank/http/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <utility>

namespace chivecrank::http {
namespace {

template <class T>
T Convert(const json_object& object, const std::string& key, T fallback) {
  if (!object || !object->has(key))
    return fallback;
  try {
    return object->getValue<T>(key);
  } catch (const Poco::Exception&) {
    return fallback;
  }
}

}  // namespace

base::result<json_object> ParseObject(std::string_view text) {
  try {
    Poco::JSON::Parser parser;
    const Poco::Dynamic::Var parsed = parser.parse(std::string(text));
    return parsed.extract<json_object>();
  } catch (const Poco::Exception& failure) {
    return base::error{
        base::error_kind::kInvalidArgument,
        "the text is not a JSON object: " + failure.displayText(),
        "send one JSON object"};
  }
}

std::string ToText(const json_object& object) {
  std::ostringstream text;
  object->stringify(text);
  return text.str();
}

std::string StringOf(const json_object& object,
                     const std::string& key,
                     std::string fallback) {
  return Convert<std::string>(object, key, std::move(fallback));
}

std::int64_t IntegerOf(const json_object& object,
                       const std::string& key,
                       std::int64_t fallback) {
  return Convert<Poco::Int64>(object, key, fallback);
}

double NumberOf(const json_object& object,
                const std::string& key,
                double fallback) {
  return Convert<double>(object, key, fallback);
}

bool BooleanOf(const json_object& object,
               const std::string& key,
               bool fallback) {
  return Convert<bool>(object, key, fallback);
}

json_object ObjectOf(const json_object& object, const std::string& key) {
  if (!object)
    return {};
  return object->getObject(key);
}

json_array ArrayOf(const json_object& object, const std::string& key) {
  json_array items;
  if (object)
    items = object->getArray(key);
  if (!items)
    items = new Poco::JSON::Array;
  return items;
}

response JsonResponse(status code, const json_object& body) {
  return {static_cast<int>(code),
          {{"Content-Type", "application/json"}},
          ToText(body)};
}

response ErrorResponse(const base::error& failure) {
  json_object body = new Poco::JSON::Object;
  body->set("error", std::string(base::ErrorKindName(failure.kind)));
  body->set("message", failure.message);
  body->set("remedy", failure.remedy);
  return JsonResponse(StatusOf(failure.kind), body);
}

base::error ErrorOf(const response& answer) {
  const auto parsed = ParseObject(answer.body);
  if (!parsed.has_value() || !parsed.value()->has("error")) {
    return {base::error_kind::kInternal,
            "unexpected answer with status " + std::to_string(answer.code),
            "check that the address is that of the intended service"};
  }
  const json_object& body = parsed.value();
  return {base::ErrorKindFromName(StringOf(body, "error")),
          StringOf(body, "message"), StringOf(body, "remedy")};
}

}  // namespace chivecrank::http
