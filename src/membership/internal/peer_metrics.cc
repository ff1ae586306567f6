#include "chivecrank/membership/peer_metrics.h"

namespace chivecrank::membership {
namespace {

prometheus::Counter& Counter(prometheus::Registry& registry,
                             const std::string& name,
                             const std::string& help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

peer_metrics::peer_metrics(prometheus::Registry& registry)
    : calls_(Counter(registry,
                     "chivecrank_peer_calls_total",
                     "Gossip calls to other processes of the system.")),
      sent_(Counter(registry,
                    "chivecrank_peer_sent_bytes_total",
                    "Gossip payload sent to other processes, in bytes.")),
      received_(
          Counter(registry,
                  "chivecrank_peer_received_bytes_total",
                  "Gossip payload received from other processes, in bytes.")) {}

}  // namespace chivecrank::membership
