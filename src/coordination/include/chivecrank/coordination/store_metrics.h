#ifndef CHIVECRANK_COORDINATION_STORE_METRICS_H_
#define CHIVECRANK_COORDINATION_STORE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

#include "chivecrank/base/error.h"
#include "chivecrank/coordination/types.h"

namespace chivecrank::coordination {

/// Prometheus metrics of the store calls of a process.
class store_metrics {
 public:
  explicit store_metrics(prometheus::Registry& registry);

  /// Records a completed call; `outcome` is "ok" or the name of the error kind.
  void RecordCall(call_class purpose,
                  const std::string& operation,
                  const std::string& outcome,
                  std::chrono::duration<double> elapsed);
  /// Records a call that was not sent because of `reason`.
  void RecordRejectedCall(call_class purpose, const std::string& reason);
  /// Records a write that was found in the store after its response was lost.
  void RecordReadBack(call_class purpose);
  void SetCircuitOpen(bool open);
  void SetWaitingWatches(std::size_t count);

 private:
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Counter>& rejected_;
  prometheus::Family<prometheus::Counter>& read_back_;
  prometheus::Family<prometheus::Histogram>& seconds_;
  prometheus::Gauge& circuit_open_;
  prometheus::Gauge& waiting_watches_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_STORE_METRICS_H_
