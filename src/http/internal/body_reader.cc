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
                                   const body_bounds& bounds) {
  if (bounds.declared > static_cast<std::int64_t>(bounds.bytes))
    return TooLarge(bounds.bytes);
  std::string body;
  std::array<char, kChunkBytes> chunk{};
  while (input.good()) {
    input.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(input.gcount()));
    if (body.size() > bounds.bytes)
      return TooLarge(bounds.bytes);
    if (std::chrono::steady_clock::now() > bounds.deadline) {
      return base::error{base::error_kind::kTimeout,
                         "the body did not arrive in time",
                         "send the whole body without pauses"};
    }
  }
  if (bounds.declared >= 0 &&
      body.size() != static_cast<std::size_t>(bounds.declared)) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the body is shorter than its Content-Length",
                       "send as many bytes as declared"};
  }
  return body;
}

}  // namespace chivecrank::http::internal
