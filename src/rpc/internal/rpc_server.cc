#include "chivecrank/rpc/rpc_server.h"

#include <thrift/transport/TBufferTransports.h>

#include <future>
#include <utility>

namespace chivecrank::rpc {
namespace {

namespace thrift = apache::thrift;

/// Fulfils the promise when the server starts to listen.
class listen_observer final : public thrift::server::TServerEventHandler {
 public:
  explicit listen_observer(std::promise<base::result<void>>& listening)
      : listening_(listening) {}

  void preServe() override { listening_.set_value(base::Success()); }

 private:
  std::promise<base::result<void>>& listening_;
};

}  // namespace

rpc_server::rpc_server(const settings::endpoint& address,
                       const std::shared_ptr<thrift::TProcessor>& processor)
    : rpc_server(
          address,
          processor,
          std::make_shared<thrift::transport::TServerSocket>(address.host,
                                                             address.port),
          server_options{}) {}

rpc_server::rpc_server(const settings::endpoint& address,
                       const std::shared_ptr<thrift::TProcessor>& processor,
                       std::shared_ptr<thrift::transport::TServerSocket> socket,
                       const server_options& options)
    : address_(address),
      socket_(std::move(socket)),
      server_(processor,
              socket_,
              std::make_shared<thrift::transport::TFramedTransportFactory>(),
              options.protocol) {
  const int idle = static_cast<int>(options.idle.count());
  socket_->setRecvTimeout(idle);
  socket_->setSendTimeout(idle);
}

rpc_server::~rpc_server() {
  Stop();
}

base::result<void> rpc_server::Start() {
  std::promise<base::result<void>> listening;
  server_.setServerEventHandler(std::make_shared<listen_observer>(listening));
  thread_ = std::thread([this, &listening] {
    try {
      server_.serve();
    } catch (const thrift::TException& failure) {
      listening.set_value(ListenError(failure.what()));
    }
  });
  return listening.get_future().get();
}

void rpc_server::Stop() {
  if (!thread_.joinable())
    return;
  server_.stop();
  thread_.join();
}

base::error rpc_server::ListenError(const std::string& detail) const {
  return {base::error_kind::kUnavailable,
          "can't listen on " + settings::ToString(address_) + ": " + detail,
          "free the address or choose another in the settings"};
}

}  // namespace chivecrank::rpc
