#include "chivecrank/entries/entry_client.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <utility>

#include "entry_peer.h"
#include "internal/wire_codec.h"

namespace chivecrank::entries {

namespace thrift = apache::thrift;

class entry_client::connection {
 public:
  connection(const settings::endpoint& address,
             std::chrono::milliseconds timeout)
      : socket_(std::make_shared<thrift::transport::TSocket>(address.host,
                                                             address.port)),
        transport_(
            std::make_shared<thrift::transport::TFramedTransport>(socket_)),
        peer_(std::make_shared<thrift::protocol::TBinaryProtocol>(transport_)) {
    const int limit = static_cast<int>(timeout.count());
    socket_->setConnTimeout(limit);
    socket_->setRecvTimeout(limit);
    socket_->setSendTimeout(limit);
    socket_->setNoDelay(true);
    transport_->open();
  }

  routing::exchange_answer Exchange(const routing::exchange_request& request) {
    wire::exchange_answer answer;
    peer_.Exchange(answer, internal::ToWire(request));
    return internal::FromWire(answer);
  }

 private:
  std::shared_ptr<thrift::transport::TSocket> socket_;
  std::shared_ptr<thrift::transport::TFramedTransport> transport_;
  wire::entry_peerClient peer_;
};

entry_client::entry_client(settings::endpoint address,
                           std::chrono::milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

entry_client::~entry_client() = default;

base::result<routing::exchange_answer> entry_client::Exchange(
    const routing::exchange_request& request) {
  try {
    if (!connection_)
      connection_ = std::make_unique<connection>(address_, timeout_);
    return connection_->Exchange(request);
  } catch (const thrift::TException& failure) {
    connection_.reset();
    return base::error{base::error_kind::kUnavailable,
                       "no answer from the entry at " +
                           settings::ToString(address_) + ": " + failure.what(),
                       "check that the entry runs and can be reached"};
  }
}

}  // namespace chivecrank::entries
