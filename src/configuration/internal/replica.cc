#include "chivecrank/configuration/replica.h"

#include <random>
#include <utility>

namespace chivecrank::configuration {
namespace {

/// Number of peers that a starting process asks for newer revisions.
constexpr std::size_t kInitialExchanges = 5;

std::uint64_t Incarnation(const base::clock& clock) {
  const auto since_epoch = clock.WallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace

replica_settings MakeReplicaSettings(const std::string& instance,
                                     const std::string& failure_domain,
                                     membership::daemon role,
                                     const std::string& host,
                                     const membership::peer_ports& ports) {
  std::random_device seeds;
  replica_settings settings;
  settings.self = membership::MakePeer(instance, failure_domain, role,
                                       {host, membership::PortOf(ports, role)});
  settings.ports = ports;
  settings.gossip.seed = seeds();
  settings.watcher.seed = seeds();
  return settings;
}

replica::replica(replica_settings settings,
                 base::clock& clock,
                 coordination::store& store,
                 coordination::instance_list& instances,
                 prometheus::Registry& registry)
    : self_(settings.self),
      local_(clock),
      metrics_(registry),
      transport_(settings.transport, metrics_),
      gossip_(settings.self,
              Incarnation(clock),
              settings.gossip,
              clock,
              transport_,
              local_,
              [&instances, ports = settings.ports]()
                  -> base::result<std::vector<membership::peer>> {
                BOOST_OUTCOME_TRY(listed, instances.List());
                return membership::PeersOf(listed, ports);
              }),
      server_(settings.self.address, gossip_, metrics_),
      watcher_(store,
               clock,
               local_,
               settings.watcher,
               {[this, role = settings.self.role] {
                  return role == membership::daemon::kScheduler &&
                         gossip_.ShouldWatchStore();
                },
                [this] { gossip_.ExchangeWithLivePeers(kInitialExchanges); },
                [this] { gossip_.Push(); }}) {}

replica::~replica() {
  Stop();
}

base::result<void> replica::Start() {
  BOOST_OUTCOME_TRY(server_.Start());
  // The peers must be known before the watcher starts: it checks its first read
  // of the store against their revisions.
  gossip_.RefreshPeers();
  gossip_.Start();
  watcher_.Start();
  return base::Success();
}

void replica::Stop() {
  watcher_.Stop();
  gossip_.Stop();
  server_.Stop();
}

shared_snapshot replica::Current() const {
  return local_.Current();
}

void replica::Publish(const snapshot& accepted) {
  if (local_.ApplyIfNewer(accepted))
    gossip_.Push();
}

std::vector<membership::member> replica::Members() const {
  return gossip_.Members();
}

std::vector<process_state> replica::QueryFleet() {
  std::vector<process_state> all = QueryProcesses(Members(), transport_);
  all.push_back({{self_}, true, local_.ActiveVersion()});
  return all;
}

}  // namespace chivecrank::configuration
