#include "proxy_link.h"

#include <Poco/Exception.h>

#include <array>
#include <utility>

namespace chivecrank::fault_proxy {
namespace {

namespace net = Poco::Net;

constexpr std::size_t kChunkBytes = 16 * 1024;
const Poco::Timespan kPoll(20 * Poco::Timespan::MILLISECONDS);

void SendAll(net::StreamSocket& to, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    sent += static_cast<std::size_t>(to.sendBytes(
        bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
  }
}

}  // namespace

proxy_link::proxy_link(const net::StreamSocket& client,
                       const net::StreamSocket& server,
                       chunk_faults& to_server,
                       chunk_faults& to_client)
    : client_(client),
      server_(server),
      upwards_([this, &to_server] { Copy(client_, server_, to_server); }),
      downwards_([this, &to_client] { Copy(server_, client_, to_client); }) {}

proxy_link::~proxy_link() {
  ending_ = true;
  upwards_.join();
  downwards_.join();
}

void proxy_link::Copy(net::StreamSocket from,
                      net::StreamSocket to,
                      chunk_faults& faults) {
  std::array<char, kChunkBytes> buffer{};
  std::string held_back;
  try {
    while (!ending_) {
      if (!from.poll(kPoll, net::Socket::SELECT_READ)) {
        // Nothing follows: what waits for the next chunk goes now.
        SendAll(to, std::exchange(held_back, {}));
        continue;
      }
      const int count = from.receiveBytes(buffer.data(), kChunkBytes);
      if (count <= 0) {
        if (silent_)
          ending_ = true;
        else
          End();
        break;
      }
      const std::string chunk(buffer.data(), static_cast<std::size_t>(count));
      if (!Pass(chunk, held_back, to, faults))
        break;
    }
  } catch (const Poco::Exception&) {
    End();
  }
  --running_;
}

bool proxy_link::Pass(const std::string& chunk,
                      std::string& held_back,
                      net::StreamSocket& to,
                      chunk_faults& faults) {
  if (silent_)
    return true;
  std::this_thread::sleep_for(faults.Delay());
  switch (faults.Next()) {
    case chunk_fate::kPass:
      SendAll(to, chunk + std::exchange(held_back, {}));
      return true;
    case chunk_fate::kDrop:
      return true;
    case chunk_fate::kSilence:
      silent_ = true;
      return true;
    case chunk_fate::kTruncate:
      SendAll(to, chunk.substr(0, chunk.size() / 2));
      End();
      return false;
    case chunk_fate::kReset:
      Reset();
      return false;
    case chunk_fate::kDuplicate:
      SendAll(to, chunk + chunk);
      return true;
    case chunk_fate::kReorder:
      SendAll(to, std::exchange(held_back, chunk));
      return true;
  }
  return true;
}

void proxy_link::Reset() {
  // A linger time of zero makes the closing, when this object goes, a reset.
  client_.setLinger(true, 0);
  server_.setLinger(true, 0);
  ending_ = true;
}

void proxy_link::End() {
  ending_ = true;
  try {
    client_.shutdownSend();
    server_.shutdownSend();
  } catch (const Poco::Exception&) {
    // One side is gone already.
  }
}

}  // namespace chivecrank::fault_proxy
