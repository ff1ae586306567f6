#ifndef CHIVECRANK_REACTOR_INTERNAL_MESSAGE_CODEC_H_
#define CHIVECRANK_REACTOR_INTERNAL_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"

namespace chivecrank::reactor::internal {

/// Limits of a message that is being read.
struct message_limits {
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
};

/// A parsed request, and whether the connection stays open after its answer.
struct parsed_request {
  http::request message;
  bool keep_alive = true;
};

struct parsed_response {
  http::response message;
  bool keep_alive = true;
};

/// Removes the first complete request from `buffer` and returns it;
/// std::nullopt when more bytes are needed. kInvalidArgument when it is
/// malformed, kResourceExhausted when it exceeds `limits`: the connection can't
/// be used any more.
base::result<std::optional<parsed_request>> TakeRequest(
    std::string& buffer,
    const message_limits& limits);

/// The same for responses.
base::result<std::optional<parsed_response>> TakeResponse(
    std::string& buffer,
    const message_limits& limits);

/// Serializes a request to `host`.
std::string ToBytes(const http::request& message, const std::string& host);

/// Serializes a response; without `keep_alive` it announces that the connection
/// is closed.
std::string ToBytes(const http::response& message, bool keep_alive);

}  // namespace chivecrank::reactor::internal

#endif  // CHIVECRANK_REACTOR_INTERNAL_MESSAGE_CODEC_H_
