#ifndef CHIVECRANK_MEMBERSHIP_INTERNAL_COUNTED_SOCKET_H_
#define CHIVECRANK_MEMBERSHIP_INTERNAL_COUNTED_SOCKET_H_

#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <memory>
#include <string>

#include "chivecrank/membership/peer_metrics.h"

namespace chivecrank::membership::internal {

/// A socket that counts the bytes sent and received.
class counted_socket final : public apache::thrift::transport::TSocket {
 public:
  counted_socket(const std::string& host, int port, peer_metrics& metrics)
      : TSocket(host, port), metrics_(metrics) {}
  counted_socket(THRIFT_SOCKET accepted, peer_metrics& metrics)
      : TSocket(accepted), metrics_(metrics) {}

  std::uint32_t read(std::uint8_t* buffer, std::uint32_t length) override {
    const std::uint32_t count = TSocket::read(buffer, length);
    metrics_.RecordReceivedBytes(count);
    return count;
  }

  void write(const std::uint8_t* buffer, std::uint32_t length) override {
    TSocket::write(buffer, length);
    metrics_.RecordSentBytes(length);
  }

 private:
  peer_metrics& metrics_;
};

/// A server socket whose connections count the bytes sent and received.
class counted_server_socket final
    : public apache::thrift::transport::TServerSocket {
 public:
  counted_server_socket(const std::string& host,
                        int port,
                        peer_metrics& metrics)
      : TServerSocket(host, port), metrics_(metrics) {}

 protected:
  std::shared_ptr<apache::thrift::transport::TSocket> createSocket(
      THRIFT_SOCKET accepted) override {
    return std::make_shared<counted_socket>(accepted, metrics_);
  }

 private:
  peer_metrics& metrics_;
};

}  // namespace chivecrank::membership::internal

#endif  // CHIVECRANK_MEMBERSHIP_INTERNAL_COUNTED_SOCKET_H_
