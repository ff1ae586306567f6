#ifndef CHIVECRANK_CONFIGURATION_REPLICA_H_
#define CHIVECRANK_CONFIGURATION_REPLICA_H_

#include <functional>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/fleet.h"
#include "chivecrank/configuration/head_watcher.h"
#include "chivecrank/configuration/local_configuration.h"
#include "chivecrank/coordination/instance_list.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/membership/gossip.h"
#include "chivecrank/membership/peer_server.h"
#include "chivecrank/membership/thrift_transport.h"

namespace chivecrank::configuration {

struct replica_settings {
  membership::peer self;
  membership::peer_ports ports;
  membership::gossip_settings gossip;
  membership::transport_settings transport;
  head_watcher_settings watcher;
};

/// Makes the settings for a daemon, with random seeds. Its gossip server
/// listens on `host` at the port of the daemon.
replica_settings MakeReplicaSettings(const std::string& instance,
                                     const std::string& failure_domain,
                                     membership::daemon role,
                                     const std::string& host,
                                     const membership::peer_ports& ports);

/// The replica of the configuration in this process. It is kept up to date by
/// gossip with the other processes; a few processes also watch the store.
class replica final : public view {
 public:
  replica(replica_settings settings,
          base::clock& clock,
          coordination::store& store,
          coordination::instance_list& instances,
          prometheus::Registry& registry);
  ~replica() override;

  /// kUnavailable if the gossip server cannot listen.
  base::result<void> Start();
  void Stop();

  shared_snapshot Current() const override;

  /// Applies a revision that the store has just accepted and pushes it to the
  /// peers.
  void Publish(const snapshot& accepted);

  /// The other processes of the system.
  std::vector<membership::member> Members() const;
  /// Queries all processes of the system, including this one, for their active
  /// revisions.
  std::vector<process_state> QueryFleet();

 private:
  const membership::peer self_;
  local_configuration local_;
  membership::peer_metrics metrics_;
  membership::thrift_transport transport_;
  membership::gossip gossip_;
  membership::peer_server server_;
  head_watcher watcher_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_REPLICA_H_
