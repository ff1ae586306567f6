#ifndef CHIVECRANK_CONFIGURATION_INTERNAL_OBJECT_READER_H_
#define CHIVECRANK_CONFIGURATION_INTERNAL_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "chivecrank/base/error.h"
#include "chivecrank/http/json.h"

namespace chivecrank::configuration::internal {

/// Reads a JSON object and keeps the first error: a missing key, a value of the
/// wrong type, or an unknown key, which is one that was never read.
class object_reader {
 public:
  object_reader(http::json_object object, std::string path)
      : object_(std::move(object)), path_(std::move(path)) {}

  std::string String(const std::string& key) {
    if (!Require(key))
      return {};
    return StringOr(key, {});
  }

  std::string StringOr(const std::string& key, std::string fallback) {
    return Read<std::string>(
        key, std::move(fallback), "a string",
        [](const auto& value) { return value.isString(); });
  }

  std::int64_t IntegerOr(const std::string& key, std::int64_t fallback) {
    return Read<Poco::Int64>(key, fallback, "an integer",
                             [](const auto& value) {
                               return value.isInteger() && !value.isBoolean();
                             });
  }

  double NumberOr(const std::string& key, double fallback) {
    return Read<double>(key, fallback, "a number", [](const auto& value) {
      return value.isNumeric() && !value.isBoolean();
    });
  }

  bool BooleanOr(const std::string& key, bool fallback) {
    return Read<bool>(key, fallback, "true or false",
                      [](const auto& value) { return value.isBoolean(); });
  }

  /// Calls `read` for each object of an optional array.
  void ForEach(const std::string& key,
               const std::function<void(object_reader&)>& read) {
    known_keys_.insert(key);
    if (!object_->has(key))
      return;
    if (!object_->isArray(key)) {
      Fail(key, "must be an array of objects");
      return;
    }
    const http::json_array items = object_->getArray(key);
    for (unsigned i = 0; i < items->size() && !error_; ++i) {
      const std::string place = key + "[" + std::to_string(i) + "]";
      if (!items->isObject(i)) {
        Fail(place, "must be an object");
        return;
      }
      object_reader item(items->getObject(i), path_ + place + ".");
      read(item);
      item.RejectUnknown();
      if (item.error_)
        error_ = item.error_;
    }
  }

  /// Fails for a key that was never read.
  void RejectUnknown() {
    for (const auto& [key, value] : *object_) {
      if (!known_keys_.contains(key))
        Fail(key, "is not a known key");
    }
  }

  void Fail(const std::string& key, const std::string& message) {
    if (error_)
      return;
    error_ = base::error{base::error_kind::kInvalidArgument,
                         path_ + key + " " + message,
                         "correct this key; docs/WIRE.md lists all keys"};
  }

  const std::optional<base::error>& error() const { return error_; }

 private:
  bool Require(const std::string& key) {
    known_keys_.insert(key);
    if (object_->has(key))
      return true;
    Fail(key, "is missing");
    return false;
  }

  template <class T, class Accept>
  T Read(const std::string& key,
         T fallback,
         const std::string& expected_type,
         const Accept& accept) {
    known_keys_.insert(key);
    if (!object_->has(key))
      return fallback;
    const Poco::Dynamic::Var value = object_->get(key);
    if (value.isEmpty() || !accept(value)) {
      Fail(key, "must be " + expected_type);
      return fallback;
    }
    return value.convert<T>();
  }

  http::json_object object_;
  std::string path_;
  std::set<std::string> known_keys_;
  std::optional<base::error> error_;
};

}  // namespace chivecrank::configuration::internal

#endif  // CHIVECRANK_CONFIGURATION_INTERNAL_OBJECT_READER_H_
