#include "harness/network.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace chivecrank::harness {
namespace {

constexpr int kFirstBlock = 10;
constexpr int kLastBlock = 250;
constexpr int kGuardPort = 7099;

/// A socket bound to the guard address of a block, or -1 if it is taken.
int BindGuard(int block) {
  const int guard = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kGuardPort);
  const std::string host = "127." + std::to_string(block) + ".0.1";
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(guard, generic, sizeof(address)) == 0)
    return guard;
  close(guard);
  return -1;
}

}  // namespace

network::network() {
  for (block_ = kFirstBlock; block_ <= kLastBlock; ++block_) {
    guard_ = BindGuard(block_);
    if (guard_ >= 0)
      return;
  }
  throw std::runtime_error("no block of loopback addresses is free");
}

network::~network() {
  close(guard_);
}

std::string network::Host(int group, int number) const {
  return "127." + std::to_string(block_) + "." + std::to_string(group) + "." +
         std::to_string(number);
}

}  // namespace chivecrank::harness
