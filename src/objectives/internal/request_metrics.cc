#include "chivecrank/objectives/request_metrics.h"

namespace chivecrank::objectives {
namespace {

/// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries kBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

}  // namespace

request_metrics::request_metrics(prometheus::Registry& registry)
    : requests_(prometheus::BuildCounter()
                    .Name(kRequestsMetric)
                    .Help("Answered requests")
                    .Register(registry)),
      latencies_(prometheus::BuildHistogram()
                     .Name(kLatencyMetric)
                     .Help("Latency of answered requests in seconds")
                     .Register(registry)) {}

void request_metrics::Observe(const request_observation& answered) {
  requests_
      .Add({{"service", answered.service},
            {"account", answered.account},
            {"outcome", answered.outcome},
            {"in_objective", answered.in_objective ? "true" : "false"}})
      .Increment();
  latencies_.Add({{"service", answered.service}}, kBuckets)
      .Observe(std::chrono::duration<double>(answered.latency).count());
}

}  // namespace chivecrank::objectives
