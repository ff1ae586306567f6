#ifndef CHIVECRANK_RUNTIME_INSTANCE_METRICS_H_
#define CHIVECRANK_RUNTIME_INSTANCE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/submissions/domain_drain.h"
#include "chivecrank/submissions/scheduler_event.h"

namespace chivecrank::runtime {

/// One metric family, as listed in the operators' documentation.
struct metric_description {
  std::string_view name;
  std::string_view labels;
  std::string_view help;
};

/// Prometheus metrics of one instance. Every label takes its values from a
/// bounded set.
class instance_metrics {
 public:
  instance_metrics();

  /// All metric families, in the order of the documentation.
  static const std::vector<metric_description>& Descriptions();

  /// A caller received the answer to a submission after `duration`.
  void OnSubmitAnswer(std::string_view answer,
                      std::chrono::nanoseconds duration);
  /// A caller received the answer to a cancellation.
  void OnCancelAnswer(std::string_view answer);
  /// A journal commit succeeded or failed after `duration`.
  void OnCommit(bool done, std::chrono::nanoseconds duration);
  void OnPoll(bool answered, std::chrono::nanoseconds duration);
  void OnSchedulerEvent(const submissions::scheduler_event& event);
  /// `since_accepted` is the time from the submission's acceptance to its end.
  void OnSubmissionEnded(std::string_view outcome,
                         std::chrono::milliseconds since_accepted);
  void SetShardsOwned(std::size_t shards);
  void SetConfigurationVersion(std::int64_t version);
  /// Workers with runs that do not answer.
  void SetAwaitedWorkers(std::size_t workers);
  /// Drained failure domains, as the owners of shards here see them.
  void SetDrains(const std::vector<submissions::domain_drain>& drains);
  void SetReady(bool ready);
  /// Sets a total that another component counts.
  void SetTotal(std::string_view what, std::uint64_t total);

  /// The metrics in the Prometheus text format.
  std::string Text() const;

 private:
  prometheus::Histogram& Latency(
      prometheus::Family<prometheus::Histogram>& family,
      const prometheus::Labels& labels);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& answer_seconds_;
  prometheus::Family<prometheus::Counter>& cancel_answers_;
  prometheus::Family<prometheus::Histogram>& submission_seconds_;
  prometheus::Family<prometheus::Histogram>& commit_seconds_;
  prometheus::Family<prometheus::Histogram>& look_seconds_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Family<prometheus::Gauge>& state_;
  prometheus::Family<prometheus::Gauge>& totals_;
  prometheus::Family<prometheus::Gauge>& drains_;
  std::set<prometheus::Gauge*> drain_gauges_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_INSTANCE_METRICS_H_
