#include "chivecrank/configuration/replica.h"

#include <random>
#include <utility>

namespace chivecrank::configuration {
namespace {

/// Peers that a fresh process asks for newer revisions.
constexpr std::size_t kFirstContacts = 5;

std::uint64_t Incarnation(const base::clock& clock) {
  const auto since_epoch = clock.WallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace

replica_settings MakeReplicaSettings(const std::string& instance,
                                     const std::string& failure_domain,
                                     membership::daemon part,
                                     const std::string& host,
                                     const membership::peer_ports& ports) {
  std::random_device seeds;
  replica_settings made;
  made.self = membership::MakePeer(instance, failure_domain, part,
                                   {host, membership::PortOf(ports, part)});
  made.ports = ports;
  made.gossip.seed = seeds();
  made.watcher.seed = seeds();
  return made;
}

replica::replica(replica_settings settings,
                 base::clock& clock,
                 coordination::store& store,
                 coordination::instance_list& instances,
                 prometheus::Registry& registry)
    : self_(settings.self),
      held_(clock),
      metrics_(registry),
      transport_(settings.transport, metrics_),
      gossip_(settings.self,
              Incarnation(clock),
              settings.gossip,
              clock,
              transport_,
              held_,
              [&instances, ports = settings.ports]()
                  -> base::result<std::vector<membership::peer>> {
                BOOST_OUTCOME_TRY(listed, instances.List());
                return membership::PeersOf(listed, ports);
              }),
      server_(settings.self.address, gossip_, metrics_),
      watcher_(store,
               clock,
               held_,
               settings.watcher,
               {[this, part = settings.self.role] {
                  return part == membership::daemon::kScheduler &&
                         gossip_.IsWatcher();
                },
                [this] { gossip_.Contact(kFirstContacts); },
                [this] { gossip_.Push(); }}) {}

replica::~replica() {
  Stop();
}

base::result<void> replica::Start() {
  BOOST_OUTCOME_TRY(server_.Start());
  // With the instance list known, the first read of the store is compared with
  // what the peers hold.
  gossip_.RefreshList();
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
  return held_.Current();
}

void replica::Publish(const snapshot& accepted) {
  if (held_.Offer(accepted))
    gossip_.Push();
}

std::vector<membership::member> replica::Members() const {
  return gossip_.Members();
}

std::vector<process_state> replica::QueryFleet() {
  std::vector<process_state> all = AskAll(Members(), transport_);
  all.push_back({{self_}, true, held_.InForce()});
  return all;
}

}  // namespace chivecrank::configuration
