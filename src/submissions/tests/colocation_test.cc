#include <set>

#include "chivecrank/submissions/record_codec.h"
#include "scheduler_fixture.h"

namespace chivecrank::submissions {

BOOST_FIXTURE_TEST_SUITE(colocation, scheduler_fixture)

BOOST_AUTO_TEST_CASE(NewOwnerRestoresInterferenceEstimatesFromSnapshot) {
  const step_request service = MakeServiceStep(3000);
  const step_request best_effort = MakeBestEffortStep(1, 6000, "heavy");
  // A single worker, which the service and the best-effort task share.
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(MakeSubmission("a", service));
  const auto service_starts = RunRound();
  scheduler.Accept(MakeSubmission("b", best_effort));
  const auto best_effort_starts = RunRound();
  BOOST_REQUIRE(best_effort_starts.size() == 1u);
  worker_report report;
  report.running = {MakeReportedRun(service_starts[0], 120, 100),
                    MakeReportedRun(best_effort_starts[0], 6000, 20)};
  for (int i = 0; i < 10; ++i) {
    Advance(std::chrono::milliseconds(300));
    Report("w-1", report);
  }
  const auto entry =
      DecodeJournalEntry(EncodeJournalEntry(scheduler.Snapshot()));
  BOOST_REQUIRE(entry.has_value());
  BOOST_REQUIRE(entry.value().interference_estimates.size() == 1u);
  BOOST_TEST(entry.value().interference_estimates[0].service_image ==
             "service");
  BOOST_TEST(entry.value().interference_estimates[0].best_effort_image ==
             "heavy");
  BOOST_TEST(entry.value().interference_estimates[0].slope > 0.6);

  report.running = {MakeReportedRun(service_starts[0], 20, 100)};
  for (const bool has_estimate : {false, true}) {
    journal_entry restored = entry.value();
    if (!has_estimate)
      restored.interference_estimates.clear();
    shard_scheduler next(settings, {});
    next.Accept(MakeSubmission("a", service));
    next.Accept(MakeSubmission("c", best_effort));
    next.Restore(restored);
    next.FinishRestore(now, now, settings.worker_lease);
    next.SetWorkers(workers);
    ReportTo(next, "w-1", report);
    next.Plan(now, since_epoch);
    // An owner without an estimate for the pair tries it out.
    const auto batch = next.TakeBatch();
    const bool tried =
        batch && std::ranges::any_of(batch->tasks, [](const auto& change) {
          return change.task.submission == "c";
        });
    BOOST_TEST(tried == !has_estimate);
  }
}

BOOST_AUTO_TEST_CASE(ThrottledTaskStaysOnItsOnlyWorker) {
  const step_request service = MakeServiceStep(3000);
  const step_request best_effort = MakeBestEffortStep(1, 4000, "batch");
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(MakeSubmission("a", service));
  const auto service_starts = RunRound();
  scheduler.Accept(MakeSubmission("b", best_effort));
  const auto best_effort_starts = RunRound();
  BOOST_REQUIRE(best_effort_starts.size() == 1u);
  const auto report_reading = [&](std::int64_t tail_ms) {
    worker_report report;
    report.running = {MakeReportedRun(service_starts[0], tail_ms, 100),
                      MakeReportedRun(best_effort_starts[0], 4000, 20)};
    Report("w-1", report);
  };
  // The service is near its latency target once and well below it after that,
  // so that the best-effort task is throttled for a while.
  report_reading(44);
  RunRound();
  BOOST_REQUIRE(throttles.size() == 1u);
  BOOST_TEST(throttles[0].percent == 50);
  for (int i = 0; i < 3; ++i) {
    Advance(std::chrono::milliseconds(200));
    report_reading(13);
    BOOST_TEST(RunRound().empty());
    BOOST_TEST(stops.empty());
  }
  // The task continues and ends on the same worker.
  worker_report report;
  report.running = {MakeReportedRun(service_starts[0], 13, 100)};
  report.ended = {{1, best_effort_starts[0].task, 1, run_outcome::kDone, ""}};
  Advance(std::chrono::milliseconds(200));
  Report("w-1", report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    AllBestEffortTasksAreHaltedWhenAServiceStaysOverItsTarget) {
  const step_request service = MakeServiceStep(3000);
  scheduler.Accept(MakeSubmission("a", service));
  const auto service_starts = RunRound();
  BOOST_REQUIRE(service_starts.size() == 1u);
  const std::string worker = service_starts[0].worker;
  worker_report report;
  report.running = {MakeReportedRun(service_starts[0], 20, 100)};
  Report(worker, report);
  // Each of these adds about a thousandth of utilization: none is a cause on
  // its own.
  step_request small_tasks = MakeBestEffortStep(40, 50, "fill");
  small_tasks.required_label = worker;
  scheduler.Accept(MakeSubmission("b", small_tasks));
  std::vector<start_command> best_effort;
  for (int step = 0; step < 40; ++step) {
    for (const start_command& start : RunRound())
      if (start.worker == worker)
        best_effort.push_back(start);
    report.running = {MakeReportedRun(service_starts[0], 20, 100)};
    for (const start_command& start : best_effort)
      report.running.push_back(MakeReportedRun(start, 50));
    for (const worker_description& other : workers)
      Report(other.id, other.id == worker ? report : worker_report{});
    Advance(std::chrono::milliseconds(300));
  }
  BOOST_REQUIRE(!best_effort.empty());
  for (reported_run& reported : report.running)
    if (reported.task == service_starts[0].task)
      reported.measurement = 60;
  std::set<task_ref> halted;
  for (int step = 0; step < 10; ++step) {
    Report(worker, report);
    RunRound();
    for (const throttle_command& throttle : throttles)
      if (throttle.percent == 0)
        halted.insert(throttle.task);
    for (const stop_command& stop : stops)
      halted.insert(stop.task);
    Advance(std::chrono::milliseconds(350));
  }
  BOOST_TEST(halted.size() == best_effort.size());
}

BOOST_AUTO_TEST_CASE(BestEffortTaskGoesBesideTheServiceWithLatencyHeadroom) {
  const step_request service = MakeServiceStep(12'000);
  const step_request best_effort = MakeBestEffortStep(2, 6000, "batch");
  journal_entry snapshot;
  snapshot.interference_estimates = {{"service", "batch", 0.6, 0.01}};
  shard_scheduler next(settings, {});
  workers.resize(2);
  next.Accept(MakeSubmission("a", service));
  next.Accept(MakeSubmission("b", service));
  next.Restore(snapshot);
  next.FinishRestore(now, now, std::chrono::milliseconds(0));
  next.SetWorkers(workers);
  ReportTo(next, "w-1", {});
  ReportTo(next, "w-2", {});
  const auto service_starts = RunRoundOn(next);
  BOOST_REQUIRE(service_starts.size() == 2u);
  // One service is near its latency target, the other one is well below it.
  for (int i = 0; i < 20; ++i) {
    Advance(std::chrono::milliseconds(100));
    worker_report near_target;
    near_target.running = {MakeReportedRun(service_starts[0], 38, 100)};
    ReportTo(next, service_starts[0].worker, near_target);
    worker_report below_target;
    below_target.running = {MakeReportedRun(service_starts[1], 14, 100)};
    ReportTo(next, service_starts[1].worker, below_target);
  }
  next.Accept(MakeSubmission("c", best_effort));
  const auto best_effort_starts = RunRoundOn(next);
  // A second task would bring the second service to its target as well.
  BOOST_REQUIRE(best_effort_starts.size() == 1u);
  BOOST_TEST(best_effort_starts[0].worker == service_starts[1].worker);
}

BOOST_AUTO_TEST_CASE(ANewOwnerRestoresTheSpeedOfTasksThatItFindsThrottled) {
  const submission service = MakeSubmission("a", MakeServiceStep(3000));
  const submission best_effort =
      MakeSubmission("b", MakeBestEffortStep(1, 4000, "batch"));
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(service);
  const auto service_starts = RunRound();
  scheduler.Accept(best_effort);
  const auto best_effort_starts = RunRound();
  BOOST_REQUIRE(best_effort_starts.size() == 1u);
  worker_report report;
  report.running = {MakeReportedRun(service_starts[0], 44, 100),
                    MakeReportedRun(best_effort_starts[0], 4000, 20)};
  Report("w-1", report);
  RunRound();
  BOOST_REQUIRE(throttles.size() == 1u);
  BOOST_REQUIRE(throttles[0].percent == 50);

  shard_scheduler next(settings, {});
  next.Accept(service);
  next.Accept(best_effort);
  next.Restore(scheduler.Snapshot());
  next.FinishRestore(now, now, settings.worker_lease);
  next.SetWorkers(workers);
  std::size_t commands = 0;
  for (int i = 0; i < 20; ++i) {
    Advance(std::chrono::milliseconds(200));
    report.running[0].measurement = 13;
    report.running[1].percent = 20 + i;
    ReportTo(next, "w-1", report);
    RunRoundOn(next);
    commands += throttles.size();
  }
  BOOST_TEST(commands > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
