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

/// Which processes of the system live, and the gossip between them. It only
/// proposes: who owns what is decided in the platform's store.
namespace chivecrank::membership {

/// The daemons of one instance.
enum class daemon { kScheduler, kEntry, kAdmin };

std::string_view DaemonName(daemon value);

/// Ports on which the daemons of every instance listen for their peers.
struct peer_ports {
  std::uint16_t scheduler = 9190;
  std::uint16_t entry = 9191;
  std::uint16_t admin = 9192;
};

/// The port of a daemon.
std::uint16_t PortOf(const peer_ports& ports, daemon part);

/// One process of the system.
struct peer {
  /// Instance and daemon: "i-1/scheduler".
  std::string id;
  std::string instance;
  daemon role = daemon::kScheduler;
  std::string failure_domain;
  /// Where its gossip server listens.
  settings::endpoint address;
};

/// The peer that a daemon of an instance is.
peer MakePeer(const std::string& instance,
              const std::string& failure_domain,
              daemon part,
              const settings::endpoint& address);

/// The peers that run on the system instances of a list.
std::vector<peer> PeersOf(const std::vector<coordination::instance>& listed,
                          const peer_ports& ports);

/// Ordered by precedence: of two statements with the same incarnation the
/// later status counts.
enum class member_status { kLive, kSuspect, kLeaving, kDead };

std::string_view MemberStatusName(member_status value);

/// A statement about a member. Only the member itself raises its incarnation.
struct rumor {
  std::string id;
  member_status status = member_status::kLive;
  std::uint64_t incarnation = 0;
};

/// A peer with what is known of it.
struct member {
  peer identity;
  member_status status = member_status::kLive;
  std::uint64_t incarnation = 0;
  /// When the status began.
  base::time_point since;
};

/// What two processes tell each other.
struct digest {
  std::string sender;
  settings::endpoint address;
  /// Version of the document that the sender holds.
  std::uint64_t version = 0;
  /// Version that the sender works with; 0 while it is not ready.
  std::uint64_t in_force = 0;
  /// Time since the store last confirmed that version as the newest.
  std::chrono::milliseconds confirmed_age{0};
  std::vector<rumor> rumors;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_TYPES_H_
