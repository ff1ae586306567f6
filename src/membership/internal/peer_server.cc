#include "chivecrank/membership/peer_server.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>

#include <future>
#include <thread>

#include "gossip_peer.h"
#include "internal/counted_socket.h"
#include "internal/digest_codec.h"

namespace chivecrank::membership {
namespace {

namespace thrift = apache::thrift;

/// A connection that says nothing for this long is closed.
constexpr int kIdleMilliseconds = 3000;

/// Passes calls from the wire on to a peer handler.
class call_handler final : public wire::gossip_peerIf {
 public:
  explicit call_handler(peer_handler& handler) : handler_(handler) {}

  void Exchange(wire::digest& answer, const wire::digest& mine) override {
    answer = internal::ToWire(handler_.OnExchange(internal::FromWire(mine)));
  }

  void Fetch(std::string& text, const std::int64_t version) override {
    const auto held = handler_.OnFetch(static_cast<std::uint64_t>(version));
    if (held.has_value()) {
      text = held.value();
      return;
    }
    wire::not_held failure;
    failure.message = held.error().message;
    throw failure;
  }

  bool Relay(const std::string& host, const std::int32_t port) override {
    return handler_.OnRelay(internal::EndpointOf(host, port));
  }

 private:
  peer_handler& handler_;
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

class peer_server::implementation {
 public:
  implementation(const settings::endpoint& address,
                 peer_handler& handler,
                 peer_metrics& metrics)
      : address_(address),
        socket_(std::make_shared<internal::counted_server_socket>(address.host,
                                                                  address.port,
                                                                  metrics)),
        server_(std::make_shared<wire::gossip_peerProcessor>(
                    std::make_shared<call_handler>(handler)),
                socket_,
                std::make_shared<thrift::transport::TFramedTransportFactory>(),
                std::make_shared<thrift::protocol::TCompactProtocolFactory>()) {
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
            "free the address or choose another port in [peers]"};
  }

  settings::endpoint address_;
  std::shared_ptr<thrift::transport::TServerSocket> socket_;
  thrift::server::TThreadedServer server_;
  std::thread thread_;
};

peer_server::peer_server(settings::endpoint address,
                         peer_handler& handler,
                         peer_metrics& metrics)
    : implementation_(
          std::make_unique<implementation>(address, handler, metrics)) {}

peer_server::~peer_server() {
  Stop();
}

base::result<void> peer_server::Start() {
  return implementation_->Start();
}

void peer_server::Stop() {
  implementation_->Stop();
}

}  // namespace chivecrank::membership
