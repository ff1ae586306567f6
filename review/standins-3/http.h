#ifndef CHIVECRANK_REVIEW_STANDINS_3_HTTP_H_
#define CHIVECRANK_REVIEW_STANDINS_3_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

/// A small HTTP/1.1 server and client over blocking sockets, for stand-ins.
namespace review::http {

struct request {
  std::string method;
  /// Without the query.
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct response {
  int code = 200;
  std::string body;
};

/// Answers a request; nullopt leaves it without an answer, and the connection
/// silent from then on.
using handler = std::function<std::optional<response>(const request&)>;

/// Serves 127.0.0.1 with a thread a connection until the process ends.
/// Returns false when the port is taken.
bool Serve(std::uint16_t port, handler handle);

/// Returns a port of 127.0.0.1 that was free a moment ago.
std::uint16_t FreePort();

struct call {
  std::uint16_t port = 0;
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  int timeout_ms = 3000;
};

/// Sends a request on a connection of its own; nullopt without a complete
/// answer in time.
std::optional<response> Call(const call& sent);

}  // namespace review::http

#endif  // CHIVECRANK_REVIEW_STANDINS_3_HTTP_H_
