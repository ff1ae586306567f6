#include "internal/body_reader.h"

#include <array>

namespace chivecrank::http::internal {
namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;

base::error TooLarge(std::size_t limit) {
  return {base::error_kind::kResourceExhausted,
          "the body is larger than " + std::to_string(limit) + " bytes",
          "send a smaller body"};
}

}  // namespace

base::result<std::string> ReadBody(std::istream& input,
                                   const body_limits& limits) {
  if (limits.declared_bytes > static_cast<std::int64_t>(limits.max_bytes))
    return TooLarge(limits.max_bytes);
  std::string body;
  std::array<char, kChunkBytes> chunk{};
  while (input.good()) {
    input.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(input.gcount()));
    if (body.size() > limits.max_bytes)
      return TooLarge(limits.max_bytes);
    if (std::chrono::steady_clock::now() > limits.deadline) {
      return base::error{base::error_kind::kTimeout,
                         "the body did not arrive within the time limit",
                         "send the whole body without pauses"};
    }
  }
  if (limits.declared_bytes >= 0 &&
      body.size() != static_cast<std::size_t>(limits.declared_bytes)) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the body is shorter than its Content-Length",
                       "send as many bytes as the Content-Length declares"};
  }
  return body;
}

}  // namespace chivecrank::http::internal
