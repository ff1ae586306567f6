#ifndef CHIVECRANK_OBJECTIVES_REQUEST_METRICS_H_
#define CHIVECRANK_OBJECTIVES_REQUEST_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// Counts answered requests for /metrics. Safe to use from several threads.
class request_metrics {
 public:
  explicit request_metrics(prometheus::Registry& registry);

  void Observe(const request_observation& answered);

 private:
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& latencies_;
};

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_REQUEST_METRICS_H_
