#ifndef CHIVECRANK_CONFIGURATION_REPLICA_H_
#define CHIVECRANK_CONFIGURATION_REPLICA_H_

#include <functional>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/fleet.h"
#include "chivecrank/configuration/head_watcher.h"
#include "chivecrank/configuration/held_configuration.h"
#include "chivecrank/coordination/instance_list.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/membership/gossip.h"
#include "chivecrank/membership/peer_server.h"
#include "chivecrank/membership/thrift_transport.h"

namespace chivecrank::configuration {

/// How a process takes part in the spread of the configuration.
struct replica_settings {
  membership::peer self;
  membership::peer_ports ports;
  membership::gossip_settings gossip;
  membership::transport_settings transport;
  head_watcher_settings watcher;
};

/// A replica for one daemon, with random seeds. The gossip server listens on
/// `host`, on the port of the daemon.
replica_settings MakeReplicaSettings(const std::string& instance,
                                     const std::string& failure_domain,
                                     membership::daemon part,
                                     const std::string& host,
                                     const membership::peer_ports& ports);

/// The configuration in force in this process, kept up to date by gossip with
/// the other processes and, in a few of them, by watching the store.
class replica final : public view {
 public:
  replica(replica_settings settings,
          base::clock& clock,
          coordination::store& store,
          coordination::instance_list& instances,
          prometheus::Registry& registry);
  ~replica() override;

  /// kUnavailable when the gossip server can't listen.
  base::result<void> Start();
  void Stop();

  shared_snapshot Current() const override;

  /// Puts a revision that the store has just accepted in force here and
  /// tells the peers.
  void Publish(const snapshot& accepted);

  /// The other processes of the system.
  std::vector<membership::member> Members() const;
  /// All processes of the system, this one too, with the revision that each
  /// has in force, as they answer just now.
  std::vector<process_state> QueryFleet();

 private:
  const membership::peer self_;
  held_configuration held_;
  membership::peer_metrics metrics_;
  membership::thrift_transport transport_;
  membership::gossip gossip_;
  membership::peer_server server_;
  head_watcher watcher_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_REPLICA_H_
