#ifndef CHIVECRANK_MEMBERSHIP_TYPES_H_
#define CHIVECRANK_MEMBERSHIP_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/settings/types.h"

/// Failure detection and gossip among the processes of the system. Its view is
/// not authoritative: ownership is decided in the platform's store.
namespace chivecrank::membership {

/// The daemons that run on each system instance.
enum class daemon { kScheduler, kEntry, kAdmin };

std::string_view DaemonName(daemon value);

/// Ports on which the daemons listen for gossip, the same on all instances.
struct peer_ports {
  std::uint16_t scheduler = 9190;
  std::uint16_t entry = 9191;
  std::uint16_t admin = 9192;
};

std::uint16_t PortOf(const peer_ports& ports, daemon role);

/// A process of the system that takes part in gossip.
struct peer {
  /// Instance and daemon, such as "i-1/scheduler".
  std::string id;
  std::string instance;
  daemon role = daemon::kScheduler;
  std::string failure_domain;
  /// Address of its gossip server.
  settings::endpoint address;
};

/// Creates the peer for a daemon of an instance.
peer MakePeer(const std::string& instance,
              const std::string& failure_domain,
              daemon role,
              const settings::endpoint& address);

/// Returns all peers on the system instances of a list.
std::vector<peer> PeersOf(const std::vector<coordination::instance>& listed,
                          const peer_ports& ports);

/// Ordered by precedence: of two rumors with the same incarnation, the one with
/// the higher status wins.
enum class member_status { kLive, kSuspect, kLeaving, kDead };

std::string_view MemberStatusName(member_status value);

/// A claim about the status of a member, passed on by gossip. Only the member
/// itself increases its incarnation.
struct rumor {
  std::string id;
  member_status status = member_status::kLive;
  std::uint64_t incarnation = 0;
};

/// A peer with its last known status.
struct member {
  peer identity;
  member_status status = member_status::kLive;
  std::uint64_t incarnation = 0;
  /// Time at which the status was set.
  base::time_point since;
};

/// The state that two processes exchange.
struct digest {
  std::string sender;
  settings::endpoint address;
  /// Newest version of the document known to the sender.
  std::uint64_t version = 0;
  /// Version that the sender uses; 0 until it is ready.
  std::uint64_t active_version = 0;
  /// Time since the store last confirmed that version as the newest.
  std::chrono::milliseconds confirmed_age{0};
  std::vector<rumor> rumors;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_TYPES_H_
