#ifndef CHIVECRANK_MEMBERSHIP_PEER_METRICS_H_
#define CHIVECRANK_MEMBERSHIP_PEER_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <cstddef>

namespace chivecrank::membership {

/// Prometheus counters of the gossip traffic of this process.
class peer_metrics {
 public:
  explicit peer_metrics(prometheus::Registry& registry);

  void RecordCall() { calls_.Increment(); }
  /// Bytes of payload, without TCP and IP headers.
  void RecordSentBytes(std::size_t bytes) {
    sent_.Increment(static_cast<double>(bytes));
  }
  void RecordReceivedBytes(std::size_t bytes) {
    received_.Increment(static_cast<double>(bytes));
  }

 private:
  prometheus::Counter& calls_;
  prometheus::Counter& sent_;
  prometheus::Counter& received_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_PEER_METRICS_H_
