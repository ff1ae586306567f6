#include "internal/rpc_server.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <future>

namespace chivecrank::instances::internal {
namespace {

namespace thrift = apache::thrift;

/// A connection that says nothing for this long is closed.
constexpr int kIdleMilliseconds = 30'000;

/// Reports that the server listens.
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
    : address_(address),
      socket_(std::make_shared<thrift::transport::TServerSocket>(address.host,
                                                                 address.port)),
      server_(processor,
              socket_,
              std::make_shared<thrift::transport::TFramedTransportFactory>(),
              std::make_shared<thrift::protocol::TBinaryProtocolFactory>()) {
  socket_->setRecvTimeout(kIdleMilliseconds);
  socket_->setSendTimeout(kIdleMilliseconds);
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
      listening.set_value(CannotListen(failure.what()));
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

base::error rpc_server::CannotListen(const std::string& detail) const {
  return {base::error_kind::kUnavailable,
          "can't listen on " + settings::ToString(address_) + ": " + detail,
          "free the address or choose another in the settings"};
}

}  // namespace chivecrank::instances::internal
