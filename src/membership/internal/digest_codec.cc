#include "internal/digest_codec.h"

#include <algorithm>

namespace chivecrank::membership::internal {
namespace {

constexpr std::int32_t kLargestPort = 65535;
constexpr std::int32_t kLargestStatus =
    static_cast<std::int32_t>(member_status::kDead);

}  // namespace

wire::digest ToWire(const digest& told) {
  wire::digest encoded;
  encoded.sender = told.sender;
  encoded.host = told.address.host;
  encoded.port = told.address.port;
  encoded.version = static_cast<std::int64_t>(told.version);
  encoded.in_force = static_cast<std::int64_t>(told.in_force);
  encoded.confirmed_age_ms = told.confirmed_age.count();
  for (const rumor& statement : told.rumors) {
    wire::rumor item;
    item.id = statement.id;
    item.status = static_cast<std::int32_t>(statement.status);
    item.incarnation = static_cast<std::int64_t>(statement.incarnation);
    encoded.rumors.push_back(item);
  }
  return encoded;
}

digest FromWire(const wire::digest& told) {
  digest decoded{told.sender,
                 EndpointOf(told.host, told.port),
                 static_cast<std::uint64_t>(told.version),
                 static_cast<std::uint64_t>(told.in_force),
                 std::chrono::milliseconds(told.confirmed_age_ms),
                 {}};
  for (const wire::rumor& item : told.rumors) {
    const auto status = std::clamp(item.status, 0, kLargestStatus);
    decoded.rumors.push_back({item.id, static_cast<member_status>(status),
                              static_cast<std::uint64_t>(item.incarnation)});
  }
  return decoded;
}

settings::endpoint EndpointOf(const std::string& host, std::int32_t port) {
  if (port < 0 || port > kLargestPort)
    return {host, 0};
  return {host, static_cast<std::uint16_t>(port)};
}

}  // namespace chivecrank::membership::internal
