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

/// Sends the answer to a request; calls after the first one have no effect.
/// May be called at any later time on the loop's thread, also after the
/// connection was closed.
using responder = std::function<void(http::response)>;

/// Handles a complete request on the loop's thread.
using async_handler = std::function<void(http::request, responder)>;

/// Limits of the requests to one server.
struct server_bounds {
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 256 * 1024;
  int backlog = 256;
};

/// Non-blocking HTTP/1.1 server on one address. Requests of one connection are
/// handled one at a time in the order of their arrival.
class http_server {
 public:
  http_server(event_loop& loop, server_bounds bounds, async_handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to listen. kUnavailable when the address can't be bound.
  base::result<void> Start(const settings::endpoint& address);
  /// From now on each connection is closed after its next answer.
  void Drain();
  /// Requests that were read and are not answered yet.
  std::size_t InFlight() const { return in_flight_; }
  std::size_t Connections() const { return connections_.size(); }

 private:
  class connection;

  void Accept();
  void RemoveConnection(std::size_t id);

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
