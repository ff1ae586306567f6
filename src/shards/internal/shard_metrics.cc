#include "chivecrank/shards/shard_metrics.h"

#include <string>

namespace chivecrank::shards {
namespace {

using gauge_family = prometheus::Family<prometheus::Gauge>;

gauge_family& MakeGaugeFamily(prometheus::Registry& registry,
                              const std::string& name,
                              const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

void Set(gauge_family& family,
         const prometheus::Labels& labels,
         std::uint64_t value) {
  family.Add(labels).Set(static_cast<double>(value));
}

}  // namespace

void Add(const shard_totals& part, shard_totals& sum) {
  sum.shards += part.shards;
  sum.answering_workers += part.answering_workers;
  sum.unresponsive_workers += part.unresponsive_workers;
  sum.unconfirmed_events += part.unconfirmed_events;
  sum.failing_journals += part.failing_journals;
  for (const auto& [state, count] : part.tasks)
    sum.tasks[state] += count;
}

shard_metrics::shard_metrics(prometheus::Registry& registry)
    : shards_(MakeGaugeFamily(registry,
                              "chivecrank_scheduler_shards",
                              "Shards that this scheduler leads.")),
      workers_(
          MakeGaugeFamily(registry,
                          "chivecrank_scheduler_workers",
                          "Workers of its shards, by whether they answer.")),
      journals_(MakeGaugeFamily(registry,
                                "chivecrank_scheduler_failing_journals",
                                "Shards whose last journal write failed.")),
      events_(MakeGaugeFamily(registry,
                              "chivecrank_scheduler_unconfirmed_events",
                              "Events that wait for a journal write.")),
      tasks_(MakeGaugeFamily(registry,
                             "chivecrank_scheduler_tasks",
                             "Tasks of its shards by state.")) {}

void shard_metrics::Update(const shard_totals& totals) {
  Set(shards_, {}, totals.shards);
  Set(workers_, {{"state", "answering"}}, totals.answering_workers);
  Set(workers_, {{"state", "silent"}}, totals.unresponsive_workers);
  Set(journals_, {}, totals.failing_journals);
  Set(events_, {}, totals.unconfirmed_events);
  for (int value = 0;
       value <= static_cast<int>(scheduling::task_state::kParked); ++value) {
    const auto state = static_cast<scheduling::task_state>(value);
    const auto found = totals.tasks.find(state);
    Set(tasks_, {{"state", std::string(scheduling::TaskStateName(state))}},
        found == totals.tasks.end() ? 0 : found->second);
  }
}

}  // namespace chivecrank::shards
