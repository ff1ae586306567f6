#ifndef CHIVECRANK_INSTANCES_INTERNAL_RPC_SERVER_H_
#define CHIVECRANK_INSTANCES_INTERNAL_RPC_SERVER_H_

#include <thrift/TProcessor.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>

#include <memory>
#include <thread>

#include "chivecrank/base/result.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::instances::internal {

/// Offers a Thrift service on an address, with a thread for each connection.
class rpc_server {
 public:
  rpc_server(const settings::endpoint& address,
             const std::shared_ptr<apache::thrift::TProcessor>& processor);
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// kUnavailable when the address can't be bound.
  base::result<void> Start();
  /// Stops after the calls in progress.
  void Stop();

 private:
  base::error CannotListen(const std::string& detail) const;

  settings::endpoint address_;
  std::shared_ptr<apache::thrift::transport::TServerSocket> socket_;
  apache::thrift::server::TThreadedServer server_;
  std::thread thread_;
};

}  // namespace chivecrank::instances::internal

#endif  // CHIVECRANK_INSTANCES_INTERNAL_RPC_SERVER_H_
