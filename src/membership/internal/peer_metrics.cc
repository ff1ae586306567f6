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
                     "Calls to other processes of the system.")),
      sent_(Counter(registry,
                    "chivecrank_peer_sent_bytes_total",
                    "Payload sent to other processes of the system.")),
      received_(Counter(registry,
                        "chivecrank_peer_received_bytes_total",
                        "Payload received from other processes.")) {}

}  // namespace chivecrank::membership
