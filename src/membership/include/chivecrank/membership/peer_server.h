#ifndef CHIVECRANK_MEMBERSHIP_PEER_SERVER_H_
#define CHIVECRANK_MEMBERSHIP_PEER_SERVER_H_

#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/membership/peer_metrics.h"
#include "chivecrank/membership/transport.h"

namespace chivecrank::membership {

/// Thrift server through which other processes call a peer handler.
class peer_server {
 public:
  peer_server(settings::endpoint address,
              peer_handler& handler,
              peer_metrics& metrics);
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// kUnavailable if the server cannot listen on the address.
  base::result<void> Start();
  /// Stops after the calls in progress have finished.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_PEER_SERVER_H_
