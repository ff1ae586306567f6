#include "proxy_route.h"

#include <Poco/Exception.h>

#include <utility>

namespace chivecrank::fault_proxy {
namespace {

namespace net = Poco::Net;

constexpr int kBacklog = 512;
const Poco::Timespan kPoll(50 * Poco::Timespan::MILLISECONDS);
const Poco::Timespan kConnect(2 * Poco::Timespan::SECONDS);

}  // namespace

proxy_route::proxy_route(const settings::endpoint& listen,
                         settings::endpoint target,
                         std::uint64_t seed)
    : target_(std::move(target)),
      to_server_(2 * seed),
      to_client_(2 * seed + 1) {
  socket_.bind(net::SocketAddress(listen.host, listen.port), true, false);
  socket_.listen(kBacklog);
  thread_ = std::thread([this] { Accept(); });
}

proxy_route::~proxy_route() {
  stopping_ = true;
  thread_.join();
}

void proxy_route::SetFaults(const fault_shares& to_server,
                            const fault_shares& to_client) {
  to_server_.Set(to_server);
  to_client_.Set(to_client);
}

void proxy_route::Accept() {
  while (!stopping_) {
    std::erase_if(links_, [](const auto& link) { return link->IsOver(); });
    if (!socket_.poll(kPoll, net::Socket::SELECT_READ))
      continue;
    try {
      Connect(socket_.acceptConnection());
    } catch (const Poco::Exception&) {
      // The client is gone, or the target refuses: the connection ends.
      continue;
    }
  }
  links_.clear();
}

void proxy_route::Connect(const net::StreamSocket& client) {
  net::StreamSocket server;
  server.connect(net::SocketAddress(target_.host, target_.port), kConnect);
  server.setNoDelay(true);
  net::StreamSocket accepted = client;
  accepted.setNoDelay(true);
  links_.push_back(
      std::make_unique<proxy_link>(accepted, server, to_server_, to_client_));
}

}  // namespace chivecrank::fault_proxy
