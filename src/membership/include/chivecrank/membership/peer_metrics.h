#ifndef CHIVECRANK_MEMBERSHIP_PEER_METRICS_H_
#define CHIVECRANK_MEMBERSHIP_PEER_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <cstddef>

namespace chivecrank::membership {

/// Counts the traffic between this process and its peers.
class peer_metrics {
 public:
  explicit peer_metrics(prometheus::Registry& registry);

  void Called() { calls_.Increment(); }
  /// Bytes of payload, without the headers of TCP and IP.
  void Sent(std::size_t bytes) { sent_.Increment(static_cast<double>(bytes)); }
  void Received(std::size_t bytes) {
    received_.Increment(static_cast<double>(bytes));
  }

 private:
  prometheus::Counter& calls_;
  prometheus::Counter& sent_;
  prometheus::Counter& received_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_PEER_METRICS_H_
