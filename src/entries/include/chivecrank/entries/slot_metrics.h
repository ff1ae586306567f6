#ifndef CHIVECRANK_ENTRIES_SLOT_METRICS_H_
#define CHIVECRANK_ENTRIES_SLOT_METRICS_H_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "chivecrank/entries/types.h"

namespace chivecrank::entries {

/// Exports the slot and admission metrics of an entry on /metrics. Thread-safe.
class slot_metrics {
 public:
  explicit slot_metrics(prometheus::Registry& registry);

  void Export(const pool_totals& totals);

 private:
  prometheus::Family<prometheus::Gauge>& slots_;
  prometheus::Family<prometheus::Gauge>& upstreams_;
  prometheus::Family<prometheus::Gauge>& waiting_;
  prometheus::Family<prometheus::Gauge>& requests_;
  prometheus::Family<prometheus::Gauge>& exchanges_;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_SLOT_METRICS_H_
