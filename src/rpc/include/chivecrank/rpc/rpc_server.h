#ifndef CHIVECRANK_RPC_RPC_SERVER_H_
#define CHIVECRANK_RPC_RPC_SERVER_H_

#include <thrift/TProcessor.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>

#include <chrono>
#include <memory>
#include <thread>

#include "chivecrank/base/result.h"
#include "chivecrank/settings/types.h"

/// Thrift servers between the processes of this project.
namespace chivecrank::rpc {

/// How a server speaks.
struct server_options {
  std::shared_ptr<apache::thrift::protocol::TProtocolFactory> protocol =
      std::make_shared<apache::thrift::protocol::TBinaryProtocolFactory>();
  /// A connection that says nothing for this long is closed.
  std::chrono::milliseconds idle{30'000};
};

/// Offers a Thrift service on an address, with a thread for each connection.
class rpc_server {
 public:
  rpc_server(const settings::endpoint& address,
             const std::shared_ptr<apache::thrift::TProcessor>& processor);
  /// Listens on a socket of the caller's, which is bound to `address`.
  rpc_server(const settings::endpoint& address,
             const std::shared_ptr<apache::thrift::TProcessor>& processor,
             std::shared_ptr<apache::thrift::transport::TServerSocket> socket,
             const server_options& options);
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

}  // namespace chivecrank::rpc

#endif  // CHIVECRANK_RPC_RPC_SERVER_H_
