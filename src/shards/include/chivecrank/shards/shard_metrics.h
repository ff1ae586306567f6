#ifndef CHIVECRANK_SHARDS_SHARD_METRICS_H_
#define CHIVECRANK_SHARDS_SHARD_METRICS_H_

#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::shards {

/// Totals over the shards that a scheduler owns.
struct shard_totals {
  std::size_t shards = 0;
  /// Workers that answered the last sync, and workers that did not.
  std::size_t answering_workers = 0;
  std::size_t unresponsive_workers = 0;
  /// Events that are not yet confirmed by the journals.
  std::uint64_t unconfirmed_events = 0;
  /// Shards whose last write failed.
  std::size_t failing_journals = 0;
  std::map<scheduling::task_state, std::size_t> tasks;
};

void Add(const shard_totals& part, shard_totals& sum);

/// The scheduler's gauges, exported on /metrics.
class shard_metrics {
 public:
  explicit shard_metrics(prometheus::Registry& registry);

  void Update(const shard_totals& totals);

 private:
  prometheus::Family<prometheus::Gauge>& shards_;
  prometheus::Family<prometheus::Gauge>& workers_;
  prometheus::Family<prometheus::Gauge>& journals_;
  prometheus::Family<prometheus::Gauge>& events_;
  prometheus::Family<prometheus::Gauge>& tasks_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_METRICS_H_
