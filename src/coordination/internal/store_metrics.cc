#include "chivecrank/coordination/store_metrics.h"

namespace chivecrank::coordination {
namespace {

using counters = prometheus::Family<prometheus::Counter>;

counters& Counters(prometheus::Registry& registry,
                   const std::string& name,
                   const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& Gauge(prometheus::Registry& registry,
                         const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

std::string NameOf(call_class purpose) {
  return std::string(CallClassName(purpose));
}

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries seconds = {
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
  return seconds;
}

}  // namespace

store_metrics::store_metrics(prometheus::Registry& registry)
    : calls_(Counters(registry,
                      "chivecrank_store_calls_total",
                      "Store calls by class, operation and outcome.")),
      rejected_(Counters(registry,
                         "chivecrank_store_refused_total",
                         "Store calls that were not sent, by class.")),
      read_back_(Counters(registry,
                          "chivecrank_store_read_back_total",
                          "Lost answers that a read settled, by class.")),
      seconds_(prometheus::BuildHistogram()
                   .Name("chivecrank_store_call_seconds")
                   .Help("Duration of store calls by class.")
                   .Register(registry)),
      circuit_open_(Gauge(registry,
                          "chivecrank_store_circuit_open",
                          "1 while store calls are held back.")),
      waiting_watches_(Gauge(registry,
                             "chivecrank_store_waiting_watches",
                             "Watches that wait in the store.")) {}

void store_metrics::RecordCall(call_class purpose,
                               const std::string& operation,
                               const std::string& outcome,
                               std::chrono::duration<double> elapsed) {
  calls_
      .Add({{"class", NameOf(purpose)},
            {"operation", operation},
            {"outcome", outcome}})
      .Increment();
  seconds_.Add({{"class", NameOf(purpose)}}, LatencyBuckets())
      .Observe(elapsed.count());
}

void store_metrics::RecordRejectedCall(call_class purpose,
                                       const std::string& reason) {
  rejected_.Add({{"class", NameOf(purpose)}, {"reason", reason}}).Increment();
}

void store_metrics::RecordReadBack(call_class purpose) {
  read_back_.Add({{"class", NameOf(purpose)}}).Increment();
}

void store_metrics::SetCircuitOpen(bool open) {
  circuit_open_.Set(open ? 1 : 0);
}

void store_metrics::SetWaitingWatches(std::size_t count) {
  waiting_watches_.Set(static_cast<double>(count));
}

}  // namespace chivecrank::coordination
