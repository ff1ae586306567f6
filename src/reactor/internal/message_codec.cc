#include "internal/message_codec.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "chivecrank/base/numbers.h"

namespace chivecrank::reactor::internal {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Sizes of head and body, in bytes, in a buffer that holds a complete message.
struct message_bounds {
  std::size_t head_size = 0;
  std::size_t body_size = 0;
};

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

base::error Malformed(std::string what) {
  return {base::error_kind::kInvalidArgument, std::move(what),
          "send HTTP/1.1 with a Content-Length"};
}

base::error TooLarge(std::string what) {
  return {base::error_kind::kResourceExhausted, std::move(what),
          "send a smaller message"};
}

template <class Head>
base::result<void> ParseHead(const std::string& buffer,
                             std::size_t head_size,
                             Head& head) {
  try {
    Poco::MemoryInputStream stream(buffer.data(),
                                   static_cast<std::streamsize>(head_size));
    head.read(stream);
    return base::Success();
  } catch (const Poco::Exception& failure) {
    return Malformed("the head of an HTTP message is malformed: " +
                     failure.displayText());
  }
}

std::vector<http::header> HeadersOf(const Poco::Net::MessageHeader& head) {
  std::vector<http::header> headers;
  headers.reserve(head.size());
  for (const auto& [name, value] : head)
    headers.push_back({name, value});
  return headers;
}

/// Size of the head in `buffer` with the empty line that ends it; std::nullopt
/// when the head is incomplete.
base::result<std::optional<std::size_t>> FindHeadSize(
    const std::string& buffer,
    const message_limits& limits) {
  const std::size_t end = buffer.find(kHeadEnd);
  if (end == std::string::npos) {
    if (buffer.size() > limits.head_bytes)
      return TooLarge("the head of an HTTP message is too large");
    return std::optional<std::size_t>();
  }
  return std::optional<std::size_t>(end + kHeadEnd.size());
}

base::result<std::size_t> BodySize(const Poco::Net::HTTPMessage& head,
                                   const message_limits& limits) {
  if (head.getChunkedTransferEncoding())
    return Malformed("chunked HTTP bodies are not supported");
  if (!head.hasContentLength())
    return std::size_t{0};
  const std::string& text = head.get(Poco::Net::HTTPMessage::CONTENT_LENGTH);
  if (text.empty() || !std::ranges::all_of(text, IsDigit))
    return Malformed("the Content-Length of an HTTP message is not a number");
  const auto declared = base::ParseInteger<std::size_t>(text);
  if (!declared || *declared > limits.body_bytes)
    return TooLarge("the body of an HTTP message is too large");
  return *declared;
}

}  // namespace

base::result<std::optional<parsed_request>> TakeRequest(
    std::string& buffer,
    const message_limits& limits) {
  BOOST_OUTCOME_TRY(head_size, FindHeadSize(buffer, limits));
  if (!head_size)
    return std::optional<parsed_request>();
  Poco::Net::HTTPRequest head;
  BOOST_OUTCOME_TRY(ParseHead(buffer, *head_size, head));
  BOOST_OUTCOME_TRY(body_size, BodySize(head, limits));
  if (buffer.size() < *head_size + body_size)
    return std::optional<parsed_request>();
  parsed_request parsed;
  parsed.message.method = head.getMethod();
  parsed.message.target = head.getURI();
  parsed.message.headers = HeadersOf(head);
  parsed.message.body = buffer.substr(*head_size, body_size);
  parsed.keep_alive = head.getKeepAlive();
  buffer.erase(0, *head_size + body_size);
  return std::optional<parsed_request>(std::move(parsed));
}

base::result<std::optional<parsed_response>> TakeResponse(
    std::string& buffer,
    const message_limits& limits) {
  BOOST_OUTCOME_TRY(head_size, FindHeadSize(buffer, limits));
  if (!head_size)
    return std::optional<parsed_response>();
  Poco::Net::HTTPResponse head;
  BOOST_OUTCOME_TRY(ParseHead(buffer, *head_size, head));
  BOOST_OUTCOME_TRY(body_size, BodySize(head, limits));
  if (buffer.size() < *head_size + body_size)
    return std::optional<parsed_response>();
  parsed_response parsed;
  parsed.message.code = head.getStatus();
  parsed.message.headers = HeadersOf(head);
  parsed.message.body = buffer.substr(*head_size, body_size);
  parsed.keep_alive = head.getKeepAlive();
  buffer.erase(0, *head_size + body_size);
  return std::optional<parsed_response>(std::move(parsed));
}

std::string ToBytes(const http::request& message, const std::string& host) {
  Poco::Net::HTTPRequest head(message.method, message.target,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  head.setHost(host);
  for (const http::header& field : message.headers)
    head.set(field.name, field.value);
  if (!message.body.empty() || message.method == "POST")
    head.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
  std::ostringstream bytes;
  head.write(bytes);
  bytes << message.body;
  return std::move(bytes).str();
}

std::string ToBytes(const http::response& message, bool keep_alive) {
  Poco::Net::HTTPResponse head(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(message.code));
  head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  for (const http::header& field : message.headers)
    head.set(field.name, field.value);
  head.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
  if (!keep_alive)
    head.setKeepAlive(false);
  std::ostringstream bytes;
  head.write(bytes);
  bytes << message.body;
  return std::move(bytes).str();
}

}  // namespace chivecrank::reactor::internal
