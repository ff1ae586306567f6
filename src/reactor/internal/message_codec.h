#ifndef CHIVECRANK_REACTOR_INTERNAL_MESSAGE_CODEC_H_
#define CHIVECRANK_REACTOR_INTERNAL_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"

namespace chivecrank::reactor::internal {

/// Bounds of a message that is being read.
struct message_limits {
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
};

/// A request, and whether the connection may carry another one after it.
struct read_request {
  http::request message;
  bool keep_alive = true;
};

struct read_response {
  http::response message;
  bool keep_alive = true;
};

/// Takes the first whole request off `buffer`; nothing when more bytes are
/// needed. kInvalidArgument, kResourceExhausted: the connection is of no use.
base::result<std::optional<read_request>> TakeRequest(
    std::string& buffer,
    const message_limits& limits);

/// Takes the first whole response off `buffer`; nothing when more bytes are
/// needed.
base::result<std::optional<read_response>> TakeResponse(
    std::string& buffer,
    const message_limits& limits);

/// The bytes of a request to `host`.
std::string ToBytes(const http::request& message, const std::string& host);

/// The bytes of a response; `keep_alive` is announced to the client.
std::string ToBytes(const http::response& message, bool keep_alive);

}  // namespace chivecrank::reactor::internal

#endif  // CHIVECRANK_REACTOR_INTERNAL_MESSAGE_CODEC_H_
