#include "chivecrank/membership/thrift_transport.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "gossip_peer.h"
#include "internal/counted_socket.h"
#include "internal/digest_codec.h"

namespace chivecrank::membership {
namespace {

namespace thrift = apache::thrift;

base::error NoAnswerError(const settings::endpoint& address,
                          const std::string& detail) {
  return {base::error_kind::kUnavailable,
          "no answer from the peer at " + settings::ToString(address) + ": " +
              detail,
          "check that the process is running and reachable"};
}

template <class Answer, class Call>
base::result<Answer> Run(const settings::endpoint& address,
                         std::chrono::milliseconds limit,
                         peer_metrics& metrics,
                         const Call& call) {
  auto socket = std::make_shared<internal::counted_socket>(
      address.host, address.port, metrics);
  metrics.RecordCall();
  const int timeout = static_cast<int>(limit.count());
  socket->setConnTimeout(timeout);
  socket->setRecvTimeout(timeout);
  socket->setSendTimeout(timeout);
  auto transport =
      std::make_shared<thrift::transport::TFramedTransport>(socket);
  wire::gossip_peerClient peer(
      std::make_shared<thrift::protocol::TCompactProtocol>(transport));
  try {
    transport->open();
    return call(peer);
  } catch (const wire::not_held& failure) {
    return base::error{base::error_kind::kNotFound, failure.message,
                       "fetch it from another peer"};
  } catch (const thrift::TException& failure) {
    return NoAnswerError(address, failure.what());
  }
}

}  // namespace

thrift_transport::thrift_transport(transport_settings timeouts,
                                   peer_metrics& metrics)
    : timeouts_(timeouts), metrics_(metrics) {}

base::result<digest> thrift_transport::Exchange(const settings::endpoint& to,
                                                const digest& mine) {
  return Run<digest>(to, timeouts_.exchange, metrics_,
                     [&](wire::gossip_peerClient& peer) {
                       wire::digest answer;
                       peer.Exchange(answer, internal::ToWire(mine));
                       return internal::FromWire(answer);
                     });
}

base::result<std::string> thrift_transport::Fetch(
    const settings::endpoint& from,
    std::uint64_t version) {
  return Run<std::string>(
      from, timeouts_.fetch, metrics_, [&](wire::gossip_peerClient& peer) {
        std::string text;
        peer.Fetch(text, static_cast<std::int64_t>(version));
        return text;
      });
}

base::result<bool> thrift_transport::Relay(const settings::endpoint& through,
                                           const settings::endpoint& target) {
  return Run<bool>(through, timeouts_.relay, metrics_,
                   [&](wire::gossip_peerClient& peer) {
                     return peer.Relay(target.host, target.port);
                   });
}

}  // namespace chivecrank::membership
