#include "chivecrank/membership/peer_settings.h"

namespace chivecrank::membership {
namespace {

constexpr settings::integer_range kPorts{1, 65'535};

}  // namespace

peer_ports ReadPeerPorts(settings::section& root) {
  settings::section read = root.TableOr("peers");
  const auto port = [&](std::string_view key, std::uint16_t fallback) {
    return static_cast<std::uint16_t>(read.IntegerOr(key, kPorts, fallback));
  };
  peer_ports ports;
  ports.scheduler = port("scheduler_port", ports.scheduler);
  ports.entry = port("entry_port", ports.entry);
  ports.admin = port("admin_port", ports.admin);
  return ports;
}

}  // namespace chivecrank::membership
