#ifndef CHIVECRANK_SUBMISSIONS_TESTS_SCHEDULER_FIXTURE_H_
#define CHIVECRANK_SUBMISSIONS_TESTS_SCHEDULER_FIXTURE_H_

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::submissions {

/// A scheduler with four workers of 16 cores, driven step by step.
struct scheduler_fixture {
  scheduler_fixture() {
    for (const std::string id : {"w-1", "w-2", "w-3", "w-4"}) {
      worker_description worker;
      worker.id = id;
      worker.service = "service";
      worker.rack = id < "w-3" ? "rack-1" : "rack-2";
      worker.labels = {"a", worker.rack, id};
      worker.capacity = {16'000, 64'000, 0};
      worker.started_at_ms = 1;
      workers.push_back(worker);
    }
    scheduler.FinishRestore(now, now, std::chrono::milliseconds(0));
    scheduler.SetWorkers(workers);
    for (const worker_description& worker : workers)
      Report(worker.id, {});
  }

  static submission MakeSubmission(const std::string& id,
                                   const step_request& step) {
    submission made;
    made.id = id;
    made.queue = "queue";
    made.policy = {"service", 0, 2, 2, std::chrono::milliseconds(1000)};
    made.spec = "spec of " + id;
    made.steps = {step};
    return made;
  }

  static step_request MakeStep(std::int32_t tasks,
                               std::int64_t processors_milli) {
    step_request step;
    step.task_count = tasks;
    step.demand = {processors_milli, 1000, 0};
    step.estimate = std::chrono::milliseconds(1000);
    return step;
  }

  /// A service with a latency target, and best-effort work beside it.
  static step_request MakeServiceStep(std::int64_t processors_milli) {
    step_request step = MakeStep(1, processors_milli);
    step.long_running = true;
    step.latency_target = std::chrono::milliseconds(45);
    step.image = "service";
    return step;
  }
  static step_request MakeBestEffortStep(std::int32_t tasks,
                                         std::int64_t processors_milli,
                                         const std::string& image) {
    step_request step = MakeStep(tasks, processors_milli);
    step.best_effort = true;
    step.image = image;
    return step;
  }

  void Advance(std::chrono::milliseconds time) { now += time; }

  /// Reports a worker's runs in answer to a poll sent just before.
  void Report(const std::string& worker, worker_report report) {
    ReportTo(scheduler, worker, std::move(report));
  }
  void ReportTo(shard_scheduler& owner,
                const std::string& worker,
                worker_report report) {
    if (report.started_at_ms == 0)
      report.started_at_ms = 1;
    owner.OnLeaseSent(worker, now);
    owner.OnReport(worker, report, now, now);
  }

  /// Plans, commits and returns the start commands, which all succeed.
  std::vector<start_command> RunRound() { return RunRoundOn(scheduler); }
  std::vector<start_command> RunRoundOn(shard_scheduler& owner) {
    owner.Plan(now, since_epoch);
    if (const auto batch = owner.TakeBatch())
      owner.OnCommitted(batch->number);
    const command_set commands = owner.TakeCommands(now);
    stops = commands.stops;
    throttles = commands.throttles;
    for (const start_command& command : commands.starts)
      owner.OnStartOutcome(command, start_outcome::kStarted, now);
    Advance(std::chrono::milliseconds(1));
    return commands.starts;
  }

  static reported_run MakeReportedRun(const start_command& command,
                                      std::int64_t measurement = 0,
                                      std::int32_t percent = 50) {
    return {command.task, command.run, {}, percent, measurement};
  }

  scheduler_settings settings;
  base::time_point now = base::time_point(std::chrono::hours(1));
  std::chrono::milliseconds since_epoch{1'000'000};
  std::vector<worker_description> workers;
  /// Gets the events of `scheduler`, if set.
  scheduler_event_hook on_event;
  shard_scheduler scheduler{settings, [this](const scheduler_event& event) {
                              if (on_event)
                                on_event(event);
                            }};
  std::vector<stop_command> stops;
  std::vector<throttle_command> throttles;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_TESTS_SCHEDULER_FIXTURE_H_
