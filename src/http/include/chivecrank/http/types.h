#ifndef CHIVECRANK_HTTP_TYPES_H_
#define CHIVECRANK_HTTP_TYPES_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/base/error.h"

/// HTTP client and server over POCO Net for control traffic and small bodies;
/// messages are held in memory completely.
namespace chivecrank::http {

/// Status codes that this project sends.
enum class status : int {
  kOk = 200,
  kAccepted = 202,
  kNoContent = 204,
  kBadRequest = 400,
  kUnauthorized = 401,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kRequestTimeout = 408,
  kConflict = 409,
  kPayloadTooLarge = 413,
  kTooManyRequests = 429,
  kInternalServerError = 500,
  kBadGateway = 502,
  kServiceUnavailable = 503,
  kGatewayTimeout = 504,
};

/// Status that reports an error of the given kind.
status StatusOf(base::error_kind kind);

struct header {
  std::string name;
  std::string value;
};

/// A request with its complete body. `target` is the path with the query.
struct request {
  std::string method;
  std::string target;
  std::vector<header> headers;
  std::string body;

  /// Value of a header field, whose name is compared case-insensitively; empty
  /// when absent.
  std::string_view Header(std::string_view name) const;
  /// The target without the query.
  std::string_view Path() const;
  /// Percent-decoded value of a query parameter; empty when absent.
  std::string Query(std::string_view name) const;
};

/// A response with its complete body.
struct response {
  int code = static_cast<int>(status::kOk);
  std::vector<header> headers;
  std::string body;

  std::string_view Header(std::string_view name) const;
};

/// Answers one request. Called concurrently from several threads.
using handler = std::function<response(const request&)>;

/// Limits that protect a server from clients that send too much or too slowly.
struct server_limits {
  std::size_t body_bytes = std::size_t{1} << 20;
  int threads = 64;
  int queued_connections = 256;
  /// Longest time without receiving bytes of a request.
  std::chrono::milliseconds read_timeout{10'000};
  /// Longest time from the head of a request until its body is complete.
  std::chrono::milliseconds request_timeout{30'000};
  std::chrono::milliseconds keep_alive{30'000};
};

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_TYPES_H_
