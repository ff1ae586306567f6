#include "internal/digest_codec.h"

#include <algorithm>

namespace chivecrank::membership::internal {
namespace {

constexpr std::int32_t kMaxPort = 65535;
constexpr std::int32_t kMaxStatus =
    static_cast<std::int32_t>(member_status::kDead);

}  // namespace

wire::digest ToWire(const digest& source) {
  wire::digest encoded;
  encoded.sender = source.sender;
  encoded.host = source.address.host;
  encoded.port = source.address.port;
  encoded.version = static_cast<std::int64_t>(source.version);
  encoded.in_force = static_cast<std::int64_t>(source.active_version);
  encoded.confirmed_age_ms = source.confirmed_age.count();
  for (const rumor& claim : source.rumors) {
    wire::rumor item;
    item.id = claim.id;
    item.status = static_cast<std::int32_t>(claim.status);
    item.incarnation = static_cast<std::int64_t>(claim.incarnation);
    encoded.rumors.push_back(item);
  }
  return encoded;
}

digest FromWire(const wire::digest& source) {
  digest decoded{source.sender,
                 EndpointOf(source.host, source.port),
                 static_cast<std::uint64_t>(source.version),
                 static_cast<std::uint64_t>(source.in_force),
                 std::chrono::milliseconds(source.confirmed_age_ms),
                 {}};
  for (const wire::rumor& item : source.rumors) {
    const auto status = std::clamp(item.status, 0, kMaxStatus);
    decoded.rumors.push_back({item.id, static_cast<member_status>(status),
                              static_cast<std::uint64_t>(item.incarnation)});
  }
  return decoded;
}

settings::endpoint EndpointOf(const std::string& host, std::int32_t port) {
  if (port < 0 || port > kMaxPort)
    return {host, 0};
  return {host, static_cast<std::uint16_t>(port)};
}

}  // namespace chivecrank::membership::internal
