#ifndef CHIVECRANK_TESTS_FAULT_PROXY_PROXY_ROUTE_H_
#define CHIVECRANK_TESTS_FAULT_PROXY_PROXY_ROUTE_H_

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <list>
#include <memory>
#include <thread>

#include "chivecrank/settings/types.h"
#include "chunk_faults.h"
#include "proxy_link.h"

namespace chivecrank::fault_proxy {

/// Passes the connections to one address on to another.
class proxy_route {
 public:
  proxy_route(const settings::endpoint& listen,
              settings::endpoint target,
              std::uint64_t seed);
  ~proxy_route();
  proxy_route(const proxy_route&) = delete;
  proxy_route& operator=(const proxy_route&) = delete;

  void SetFaults(const fault_shares& to_server, const fault_shares& to_client);

 private:
  void Accept();
  void Connect(const Poco::Net::StreamSocket& client);

  const settings::endpoint target_;
  chunk_faults to_server_;
  chunk_faults to_client_;
  Poco::Net::ServerSocket socket_;
  std::list<std::unique_ptr<proxy_link>> links_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::fault_proxy

#endif  // CHIVECRANK_TESTS_FAULT_PROXY_PROXY_ROUTE_H_
