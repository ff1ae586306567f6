#ifndef CHIVECRANK_SETTINGS_TYPES_H_
#define CHIVECRANK_SETTINGS_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reading of the TOML settings file that each program starts with.
namespace chivecrank::settings {

/// One fault in a settings file, with its place and its remedy.
struct problem {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string message;
  std::string remedy;
};

/// "file:line: key: message; remedy".
std::string Describe(const problem& fault);

/// The inclusive range that an integer setting must lie in.
struct integer_range {
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
};

/// The inclusive range that a number must lie in.
struct number_range {
  double lowest = 0;
  double highest = 0;
};

/// An IP address and a port, parsed from "ip:port".
struct endpoint {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

/// Nothing when `text` is no "ip:port".
std::optional<endpoint> ParseEndpoint(std::string_view text);

/// "ip:port".
std::string ToString(const endpoint& address);

}  // namespace chivecrank::settings

#endif  // CHIVECRANK_SETTINGS_TYPES_H_
