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

/// Thrift servers for calls between processes.
namespace chivecrank::rpc {

struct server_options {
  std::shared_ptr<apache::thrift::protocol::TProtocolFactory> protocol =
      std::make_shared<apache::thrift::protocol::TBinaryProtocolFactory>();
  /// A connection without traffic for this long is closed.
  std::chrono::milliseconds idle{30'000};
};

/// Serves a Thrift service on an address, with one thread for each connection.
class rpc_server {
 public:
  rpc_server(const settings::endpoint& address,
             const std::shared_ptr<apache::thrift::TProcessor>& processor);
  /// Listens on the given socket, which must be bound to `address`.
  rpc_server(const settings::endpoint& address,
             const std::shared_ptr<apache::thrift::TProcessor>& processor,
             std::shared_ptr<apache::thrift::transport::TServerSocket> socket,
             const server_options& options);
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// Returns once the server listens, or kUnavailable if the address can't be
  /// bound.
  base::result<void> Start();
  /// Stops the server once the calls in progress have ended.
  void Stop();

 private:
  base::error ListenError(const std::string& detail) const;

  settings::endpoint address_;
  std::shared_ptr<apache::thrift::transport::TServerSocket> socket_;
  apache::thrift::server::TThreadedServer server_;
  std::thread thread_;
};

}  // namespace chivecrank::rpc

#endif  // CHIVECRANK_RPC_RPC_SERVER_H_
