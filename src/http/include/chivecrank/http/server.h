#ifndef CHIVECRANK_HTTP_SERVER_H_
#define CHIVECRANK_HTTP_SERVER_H_

#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::http {

/// Blocking HTTP server on one address that calls a handler from its threads.
class server {
 public:
  server(settings::endpoint address, server_limits limits, handler handle);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Starts to serve. kUnavailable when the address can't be bound.
  base::result<void> Start();
  /// From now on closes each connection after its next answer, so that clients
  /// have moved to other servers when this one stops.
  void Drain();
  /// Stops listening and waits until the requests in flight are answered.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_SERVER_H_
