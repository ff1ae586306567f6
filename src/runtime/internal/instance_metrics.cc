#include "chivecrank/runtime/instance_metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace chivecrank::runtime {
namespace {

/// Upper bounds of the latency histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

enum family : std::size_t {
  kAnswers,
  kAnswerSeconds,
  kCancelAnswers,
  kSubmissionSeconds,
  kCommitSeconds,
  kLookSeconds,
  kEvents,
  kState,
  kTotals,
  kDrains,
};

template <class Builder>
auto& RegisterFamily(Builder builder,
                     family which,
                     prometheus::Registry& registry) {
  const metric_description& description =
      instance_metrics::Descriptions().at(which);
  return builder.Name(std::string(description.name))
      .Help(std::string(description.help))
      .Register(registry);
}

double ToSeconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

const std::vector<metric_description>& instance_metrics::Descriptions() {
  static const std::vector<metric_description> descriptions = {
      {"chivecrank_submission_answers_total", "answer",
       "Answers to submissions: accepted, rejected or unknown."},
      {"chivecrank_submission_answer_seconds", "answer",
       "Time from a submission to its answer."},
      {"chivecrank_cancel_answers_total", "answer",
       "Answers to cancellations: cancelled, unknown, unavailable or "
       "in_doubt."},
      {"chivecrank_submission_seconds", "outcome",
       "Time from a submission's acceptance to its end, at its owner."},
      {"chivecrank_commit_seconds", "done",
       "Time that the store took for a commit of a shard's journal."},
      {"chivecrank_look_seconds", "answered",
       "Time until a worker answered a look, which it may hold."},
      {"chivecrank_scheduler_events_total", "event, outcome",
       "Decisions and observations of the scheduler, as in the log."},
      {"chivecrank_state", "what",
       "ready (0 or 1), shards_owned, configuration_version, awaited_workers "
       "(workers with runs that do not answer)."},
      {"chivecrank_totals", "what",
       "Since the start: store and worker calls by kind, connections, log "
       "lines left out."},
      {"chivecrank_domain_drain", "domain, what",
       "Drained failure domains at the owners of their workers: workers, runs "
       "left by kind (long_running, ending, best_effort) and moved tasks."},
  };
  return descriptions;
}

instance_metrics::instance_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(
          RegisterFamily(prometheus::BuildCounter(), kAnswers, *registry_)),
      answer_seconds_(RegisterFamily(prometheus::BuildHistogram(),
                                     kAnswerSeconds,
                                     *registry_)),
      cancel_answers_(RegisterFamily(prometheus::BuildCounter(),
                                     kCancelAnswers,
                                     *registry_)),
      submission_seconds_(RegisterFamily(prometheus::BuildHistogram(),
                                         kSubmissionSeconds,
                                         *registry_)),
      commit_seconds_(RegisterFamily(prometheus::BuildHistogram(),
                                     kCommitSeconds,
                                     *registry_)),
      look_seconds_(RegisterFamily(prometheus::BuildHistogram(),
                                   kLookSeconds,
                                   *registry_)),
      events_(RegisterFamily(prometheus::BuildCounter(), kEvents, *registry_)),
      state_(RegisterFamily(prometheus::BuildGauge(), kState, *registry_)),
      totals_(RegisterFamily(prometheus::BuildGauge(), kTotals, *registry_)),
      drains_(RegisterFamily(prometheus::BuildGauge(), kDrains, *registry_)) {}

void instance_metrics::OnSubmitAnswer(std::string_view answer,
                                      std::chrono::nanoseconds duration) {
  const prometheus::Labels labels = {{"answer", std::string(answer)}};
  answers_.Add(labels).Increment();
  Latency(answer_seconds_, labels).Observe(ToSeconds(duration));
}

void instance_metrics::OnCancelAnswer(std::string_view answer) {
  cancel_answers_.Add({{"answer", std::string(answer)}}).Increment();
}

void instance_metrics::OnCommit(bool done, std::chrono::nanoseconds duration) {
  Latency(commit_seconds_, {{"done", done ? "yes" : "no"}})
      .Observe(ToSeconds(duration));
}

void instance_metrics::OnPoll(bool answered,
                              std::chrono::nanoseconds duration) {
  Latency(look_seconds_, {{"answered", answered ? "yes" : "no"}})
      .Observe(ToSeconds(duration));
}

void instance_metrics::OnSchedulerEvent(
    const submissions::scheduler_event& event) {
  // Every label takes its values from a bounded set.
  const bool names_image = submissions::OutcomeIsImage(event.kind);
  events_
      .Add({{"event",
             std::string(submissions::SchedulerEventKindName(event.kind))},
            {"outcome", names_image ? "" : std::string(event.outcome)}})
      .Increment();
}

void instance_metrics::OnSubmissionEnded(
    std::string_view outcome,
    std::chrono::milliseconds since_accepted) {
  Latency(submission_seconds_, {{"outcome", std::string(outcome)}})
      .Observe(ToSeconds(since_accepted));
}

void instance_metrics::SetShardsOwned(std::size_t shards) {
  state_.Add({{"what", "shards_owned"}}).Set(static_cast<double>(shards));
}

void instance_metrics::SetConfigurationVersion(std::int64_t version) {
  state_.Add({{"what", "configuration_version"}})
      .Set(static_cast<double>(version));
}

void instance_metrics::SetAwaitedWorkers(std::size_t workers) {
  state_.Add({{"what", "awaited_workers"}}).Set(static_cast<double>(workers));
}

void instance_metrics::SetDrains(
    const std::vector<submissions::domain_drain>& drains) {
  // A domain whose drain is over has no gauges.
  for (prometheus::Gauge* gauge : std::exchange(drain_gauges_, {}))
    drains_.Remove(gauge);
  for (const submissions::domain_drain& drain : drains) {
    const auto add = [&](std::string_view what, double value) {
      prometheus::Gauge& gauge = drains_.Add(
          {{"domain", drain.failure_domain}, {"what", std::string(what)}});
      // Several shards here may have workers in the domain.
      gauge.Increment(value);
      drain_gauges_.insert(&gauge);
    };
    add("workers", static_cast<double>(drain.workers));
    add("long_running", static_cast<double>(drain.long_running));
    add("ending", static_cast<double>(drain.ending));
    add("best_effort", static_cast<double>(drain.best_effort));
    add("moved", static_cast<double>(drain.moved));
  }
}

void instance_metrics::SetReady(bool ready) {
  state_.Add({{"what", "ready"}}).Set(ready ? 1 : 0);
}

void instance_metrics::SetTotal(std::string_view what, std::uint64_t total) {
  totals_.Add({{"what", std::string(what)}}).Set(static_cast<double>(total));
}

std::string instance_metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

prometheus::Histogram& instance_metrics::Latency(
    prometheus::Family<prometheus::Histogram>& family,
    const prometheus::Labels& labels) {
  return family.Add(labels, kLatencyBuckets);
}

}  // namespace chivecrank::runtime
