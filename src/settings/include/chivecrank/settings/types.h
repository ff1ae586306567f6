#ifndef CHIVECRANK_SETTINGS_TYPES_H_
#define CHIVECRANK_SETTINGS_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reads the TOML settings file of a program and reports all of its problems.
namespace chivecrank::settings {

/// One problem in a settings file, with its location and remedy.
struct problem {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string message;
  std::string remedy;
};

/// Formats a problem as "file:line: key: message; remedy".
std::string Describe(const problem& fault);

/// Inclusive range of valid values of an integer setting.
struct integer_range {
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
};

/// Inclusive range of valid values of a floating-point setting.
struct number_range {
  double min_value = 0;
  double max_value = 0;
};

/// An IPv4 address and a port.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

/// Parses "ip:port"; std::nullopt when `text` is malformed or the port is 0.
std::optional<endpoint> ParseEndpoint(std::string_view text);

/// Formats an endpoint as "ip:port".
std::string ToString(const endpoint& address);

}  // namespace chivecrank::settings

#endif  // CHIVECRANK_SETTINGS_TYPES_H_
