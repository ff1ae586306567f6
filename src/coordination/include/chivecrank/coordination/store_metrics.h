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

/// Counts the store calls of a process by class.
class store_metrics {
 public:
  explicit store_metrics(prometheus::Registry& registry);

  /// A call ended; `outcome` is "ok" or the kind of its error.
  void Ended(call_class purpose,
             const std::string& operation,
             const std::string& outcome,
             std::chrono::duration<double> took);
  /// A call was not sent, because of `reason`.
  void Refused(call_class purpose, const std::string& reason);
  /// A write whose answer was lost was found in the store.
  void ReadBack(call_class purpose);
  void SetCircuitOpen(bool open);
  void SetWaitingWatches(std::size_t count);

 private:
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Family<prometheus::Counter>& read_back_;
  prometheus::Family<prometheus::Histogram>& seconds_;
  prometheus::Gauge& circuit_open_;
  prometheus::Gauge& waiting_watches_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_STORE_METRICS_H_
