#include "chivecrank/shards/task_metrics.h"

#include <string>

namespace chivecrank::shards {
namespace {

/// The label of an event. The ends of attempts are distinguished by their
/// outcome.
struct event_label {
  std::string operator()(const scheduling::task_accepted& /*event*/) const {
    return "accepted";
  }
  std::string operator()(const scheduling::attempt_started& /*event*/) const {
    return "started";
  }
  std::string operator()(const scheduling::attempt_confirmed& /*event*/) const {
    return "confirmed";
  }
  std::string operator()(const scheduling::attempt_throttled& event) const {
    return event.throttled ? "throttled" : "restored";
  }
  std::string operator()(
      const scheduling::checkpoint_ordered& /*event*/) const {
    return "evicted";
  }
  std::string operator()(const scheduling::attempt_ended& event) const {
    return "ended_" +
           std::string(scheduling::AttemptOutcomeName(event.outcome));
  }
  std::string operator()(const scheduling::task_parked& /*event*/) const {
    return "parked";
  }
  std::string operator()(const scheduling::task_released& /*event*/) const {
    return "released";
  }
  std::string operator()(const scheduling::task_cancelled& /*event*/) const {
    return "cancelled";
  }
};

}  // namespace

task_metrics::task_metrics(prometheus::Registry& registry)
    : events_(prometheus::BuildCounter()
                  .Name("chivecrank_scheduler_task_events_total")
                  .Help("What happened to tasks of the owned shards")
                  .Register(registry)) {}

void task_metrics::Count(const scheduling::event& recorded) {
  events_.Add({{"event", std::visit(event_label{}, recorded)}}).Increment();
}

}  // namespace chivecrank::shards
