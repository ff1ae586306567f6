#ifndef CHIVECRANK_REACTOR_HTTP_SERVER_H_
#define CHIVECRANK_REACTOR_HTTP_SERVER_H_

#include <Poco/Net/ServerSocket.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::reactor {

/// Sends the one answer to a request. May be called at any later time, also
/// after the connection is gone.
using responder = std::function<void(http::response)>;

/// Handles a whole request on the loop's thread.
using async_handler = std::function<void(http::request, responder)>;

/// Bounds of one server.
struct server_bounds {
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 256 * 1024;
  int backlog = 256;
};

/// An HTTP/1.1 server on one address of the loop. Requests of one connection
/// are answered in their order, one at a time.
class http_server {
 public:
  http_server(event_loop& loop, server_bounds bounds, async_handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens. kUnavailable when the address can't be bound.
  base::result<void> Start(const settings::endpoint& address);
  /// From now on each connection closes with its next answer.
  void Drain();
  /// Requests that were read and not answered.
  std::size_t InFlight() const { return in_flight_; }
  std::size_t Connections() const { return connections_.size(); }

 private:
  class connection;

  void Accept();
  void Forget(std::size_t id);

  event_loop& loop_;
  server_bounds bounds_;
  async_handler handle_;
  Poco::Net::ServerSocket listener_;
  std::unordered_map<std::size_t, std::shared_ptr<connection>> connections_;
  std::size_t last_connection_ = 0;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
};

}  // namespace chivecrank::reactor

#endif  // CHIVECRANK_REACTOR_HTTP_SERVER_H_
