#include "chivecrank/entries/entry_server.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <thread>
#include <utility>

#include "entry_peer.h"
#include "internal/wire_codec.h"

namespace chivecrank::entries {
namespace {

namespace thrift = apache::thrift;

/// A connection that says nothing for this long is closed.
constexpr int kIdleMilliseconds = 30'000;

class call_handler final : public wire::entry_peerIf {
 public:
  explicit call_handler(slot_pool& pool) : pool_(pool) {}

  void Exchange(wire::exchange_answer& answer,
                const wire::exchange_request& request) override {
    answer = internal::ToWire(pool_.Answer(internal::FromWire(request)));
  }

 private:
  slot_pool& pool_;
};

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

class entry_server::implementation {
 public:
  implementation(const settings::endpoint& address, slot_pool& pool)
      : address_(address),
        socket_(
            std::make_shared<thrift::transport::TServerSocket>(address.host,
                                                               address.port)),
        server_(std::make_shared<wire::entry_peerProcessor>(
                    std::make_shared<call_handler>(pool)),
                socket_,
                std::make_shared<thrift::transport::TFramedTransportFactory>(),
                std::make_shared<thrift::protocol::TBinaryProtocolFactory>()) {
    socket_->setRecvTimeout(kIdleMilliseconds);
    socket_->setSendTimeout(kIdleMilliseconds);
  }

  base::result<void> Start() {
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

  void Stop() {
    if (!thread_.joinable())
      return;
    server_.stop();
    thread_.join();
  }

 private:
  base::error CannotListen(const std::string& detail) const {
    return {base::error_kind::kUnavailable,
            "can't listen on " + settings::ToString(address_) + ": " + detail,
            "free the address or choose another in the settings"};
  }

  settings::endpoint address_;
  std::shared_ptr<thrift::transport::TServerSocket> socket_;
  thrift::server::TThreadedServer server_;
  std::thread thread_;
};

entry_server::entry_server(settings::endpoint address, slot_pool& pool)
    : implementation_(std::make_unique<implementation>(address, pool)) {}

entry_server::~entry_server() {
  Stop();
}

base::result<void> entry_server::Start() {
  return implementation_->Start();
}

void entry_server::Stop() {
  implementation_->Stop();
}

}  // namespace chivecrank::entries
