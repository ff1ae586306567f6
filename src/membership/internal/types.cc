#include "chivecrank/membership/types.h"

#include <array>

namespace chivecrank::membership {
namespace {

constexpr std::array kDaemonNames = {"scheduler", "entry", "admin"};
constexpr std::array kStatusNames = {"live", "suspect", "leaving", "dead"};
constexpr std::array kDaemons = {daemon::kScheduler, daemon::kEntry,
                                 daemon::kAdmin};

}  // namespace

std::string_view DaemonName(daemon value) {
  return kDaemonNames.at(static_cast<std::size_t>(value));
}

std::string_view MemberStatusName(member_status value) {
  return kStatusNames.at(static_cast<std::size_t>(value));
}

std::uint16_t PortOf(const peer_ports& ports, daemon role) {
  if (role == daemon::kScheduler)
    return ports.scheduler;
  return role == daemon::kEntry ? ports.entry : ports.admin;
}

peer MakePeer(const std::string& instance,
              const std::string& failure_domain,
              daemon role,
              const settings::endpoint& address) {
  return {instance + "/" + std::string(DaemonName(role)), instance, role,
          failure_domain, address};
}

std::vector<peer> PeersOf(const std::vector<coordination::instance>& listed,
                          const peer_ports& ports) {
  std::vector<peer> peers;
  for (const coordination::instance& instance : listed) {
    if (instance.kind != coordination::instance_kind::kSystem)
      continue;
    for (const daemon role : kDaemons) {
      peers.push_back(MakePeer(instance.id, instance.failure_domain, role,
                               {instance.scheduler.host, PortOf(ports, role)}));
    }
  }
  return peers;
}

}  // namespace chivecrank::membership
