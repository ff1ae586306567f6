#ifndef CHIVECRANK_SCHEDULING_TESTS_PLANNER_FIXTURE_H_
#define CHIVECRANK_SCHEDULING_TESTS_PLANNER_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "chivecrank/scheduling/planner.h"

namespace chivecrank::scheduling {

/// A planner over a shard whose workers confirm each start at once.
struct planner_fixture {
  planner_settings settings;
  planner_hooks hooks;
  std::unique_ptr<planner> planned;
  shard_state state;
  std::vector<worker_view> workers = {{"w-1", {4000, 8000, 0}, "r-1", "d-1"},
                                      {"w-2", {4000, 8000, 0}, "r-2", "d-2"}};
  base::wall_time now = base::wall_time(std::chrono::hours(24));

  planner& Planner() {
    if (!planned)
      planned = std::make_unique<planner>(settings, hooks);
    return *planned;
  }

  void Record(const event& recorded) {
    BOOST_REQUIRE(state.Apply(recorded).has_value());
    Planner().Observe(recorded, state, now);
  }

  static task_request Request(const std::string& id,
                              std::int64_t processors_milli) {
    task_request request;
    request.id = id;
    request.template_name = "batch";
    request.team = "team";
    request.account = "account";
    request.demand = {processors_milli, 100, 0};
    request.run_time = std::chrono::minutes(5);
    request.checkpoints = true;
    request.attempt_limit = 3;
    return request;
  }

  void Accept(const task_request& request) { Record(task_accepted{request}); }

  void AcceptService(const std::string& id) {
    task_request request = Request(id, 1000);
    request.template_name = "service";
    request.kind = task_kind::kService;
    Accept(request);
  }

  /// Plans, records the events and confirms the starts.
  std::vector<event> Round() {
    auto events = Planner().Plan(state, workers, now);
    for (const event& next : events) {
      Record(next);
      if (const auto* start = std::get_if<attempt_started>(&next))
        Record(attempt_confirmed{start->task_id, start->attempt});
    }
    return events;
  }

  void End(const std::string& id,
           attempt_outcome outcome,
           std::chrono::milliseconds saved = {}) {
    Record(attempt_ended{id, state.Find(id)->attempt, outcome, saved});
  }

  void Pass(std::chrono::seconds time) { now += time; }

  task_state State(const std::string& id) const {
    return state.Find(id)->state;
  }
  std::string WorkerOf(const std::string& id) const {
    return state.Find(id)->worker_id;
  }
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_TESTS_PLANNER_FIXTURE_H_
