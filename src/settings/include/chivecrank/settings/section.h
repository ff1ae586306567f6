#ifndef CHIVECRANK_SETTINGS_SECTION_H_
#define CHIVECRANK_SETTINGS_SECTION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/types.h"

namespace chivecrank::settings {

namespace internal {
struct document_state;
struct section_state;
}  // namespace internal

/// One table of a settings file. When a key is missing, has the wrong type or
/// is out of range, a getter records a problem and returns a placeholder,
/// so that one pass over the file finds all of its problems.
class section {
 public:
  explicit section(std::shared_ptr<internal::section_state> state);

  /// A required, non-empty string.
  std::string String(std::string_view key);
  /// An optional string.
  std::string StringOr(std::string_view key, std::string fallback);
  /// A required integer within `range`.
  std::int64_t Integer(std::string_view key, integer_range range);
  /// A required number within `range`.
  double Number(std::string_view key, number_range range);
  /// An optional number within `range`.
  double NumberOr(std::string_view key, number_range range, double fallback);
  /// An optional integer within `range`.
  std::int64_t IntegerOr(std::string_view key,
                         integer_range range,
                         std::int64_t fallback);
  /// An optional duration in milliseconds, within `range` milliseconds.
  std::chrono::milliseconds MillisecondsOr(std::string_view key,
                                           integer_range range,
                                           std::chrono::milliseconds fallback);
  /// An optional boolean.
  bool BooleanOr(std::string_view key, bool fallback);
  /// A required "ip:port".
  endpoint Endpoint(std::string_view key);
  /// An optional list of "ip:port".
  std::vector<endpoint> EndpointsOr(std::string_view key,
                                    std::vector<endpoint> fallback);
  /// A required table below this one.
  section Table(std::string_view key);
  /// An optional table; treated as empty when absent.
  section TableOr(std::string_view key);
  /// The tables of an optional array of tables.
  std::vector<section> Tables(std::string_view key);

  bool Has(std::string_view key) const;

  /// Records a problem with `key` that the caller detected, such as conflicting
  /// values.
  void Reject(std::string_view key, std::string message, std::string remedy);

 private:
  std::shared_ptr<internal::section_state> state_;
};

}  // namespace chivecrank::settings

#endif  // CHIVECRANK_SETTINGS_SECTION_H_
