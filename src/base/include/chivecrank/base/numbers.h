#ifndef CHIVECRANK_BASE_NUMBERS_H_
#define CHIVECRANK_BASE_NUMBERS_H_

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace chivecrank::base {

/// Parses a decimal integer; std::nullopt when `text` holds anything else or
/// the number is out of range.
template <std::integral Integer>
std::optional<Integer> ParseInteger(std::string_view text) {
  Integer number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || rest != end)
    return std::nullopt;
  return number;
}

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_NUMBERS_H_
