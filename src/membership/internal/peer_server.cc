#include "chivecrank/membership/peer_server.h"

#include <thrift/protocol/TCompactProtocol.h>

#include "chivecrank/rpc/rpc_server.h"
#include "gossip_peer.h"
#include "internal/counted_socket.h"
#include "internal/digest_codec.h"

namespace chivecrank::membership {
namespace {

namespace thrift = apache::thrift;

/// Connections that are idle for this long are closed.
constexpr std::chrono::milliseconds kIdleTimeout{3000};

rpc::server_options Options() {
  rpc::server_options options;
  options.protocol =
      std::make_shared<thrift::protocol::TCompactProtocolFactory>();
  options.idle = kIdleTimeout;
  return options;
}

/// Forwards Thrift calls to a peer handler.
class call_handler final : public wire::gossip_peerIf {
 public:
  explicit call_handler(peer_handler& handler) : handler_(handler) {}

  void Exchange(wire::digest& answer, const wire::digest& mine) override {
    answer = internal::ToWire(handler_.OnExchange(internal::FromWire(mine)));
  }

  void Fetch(std::string& text, const std::int64_t version) override {
    const auto fetched = handler_.OnFetch(static_cast<std::uint64_t>(version));
    if (fetched.has_value()) {
      text = fetched.value();
      return;
    }
    wire::not_held failure;
    failure.message = fetched.error().message;
    throw failure;
  }

  bool Relay(const std::string& host, const std::int32_t port) override {
    return handler_.OnRelay(internal::EndpointOf(host, port));
  }

 private:
  peer_handler& handler_;
};

}  // namespace

class peer_server::implementation {
 public:
  implementation(const settings::endpoint& address,
                 peer_handler& handler,
                 peer_metrics& metrics)
      : server_(address,
                std::make_shared<wire::gossip_peerProcessor>(
                    std::make_shared<call_handler>(handler)),
                std::make_shared<internal::counted_server_socket>(address.host,
                                                                  address.port,
                                                                  metrics),
                Options()) {}

  base::result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }

 private:
  rpc::rpc_server server_;
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
