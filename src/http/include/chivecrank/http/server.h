#ifndef CHIVECRANK_HTTP_SERVER_H_
#define CHIVECRANK_HTTP_SERVER_H_

#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::http {

/// An HTTP server on one address that answers with a handler.
class server {
 public:
  server(settings::endpoint address, server_limits limits, handler handle);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Listens and answers. kUnavailable when the address can't be bound.
  base::result<void> Start();
  /// Closes each connection with its next answer, so that callers have gone
  /// elsewhere when the server stops.
  void Drain();
  /// Stops listening and waits until the requests in flight are answered.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_SERVER_H_
