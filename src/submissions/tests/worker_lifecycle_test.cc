#include "scheduler_fixture.h"

namespace chivecrank::submissions {

namespace {

/// A draining worker stays for about so long.
constexpr std::chrono::seconds kDrainTime{6};
constexpr std::chrono::milliseconds kStep{250};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_lifecycle, scheduler_fixture)

BOOST_AUTO_TEST_CASE(DrainingWorkerGetsNoStarts) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  for (worker_description& worker : workers)
    worker.draining = true;
  scheduler.SetWorkers(workers);
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
  BOOST_TEST(RunRound().empty());
}

BOOST_AUTO_TEST_CASE(AWorkerThatShrinksWhileAStartIsCommittedDoesNotGetIt) {
  scheduler.Accept(MakeSubmission("a", MakeStep(4, 16'000)));
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  workers[0].capacity.processors_milli = 8000;
  workers[1].capacity.processors_milli = 0;
  scheduler.SetWorkers(workers);
  scheduler.OnCommitted(batch->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_TEST(starts.size() == 2u);
  for (const start_command& start : starts)
    BOOST_TEST((start.worker == "w-3" || start.worker == "w-4"));
}

BOOST_AUTO_TEST_CASE(AWorkerThatGrowsAgainGetsStartsAgain) {
  for (worker_description& worker : workers)
    worker.capacity.processors_milli = 0;
  scheduler.SetWorkers(workers);
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 16'000)));
  BOOST_TEST(RunRound().empty());
  workers[2].capacity.processors_milli = 16'000;
  scheduler.SetWorkers(workers);
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].worker == "w-3");
}

BOOST_AUTO_TEST_CASE(LongRunningTasksLeaveADrainingWorkerHalfAtATime) {
  step_request service = MakeStep(4, 3000);
  service.long_running = true;
  service.max_unavailable = 1;
  scheduler.Accept(MakeSubmission("a", service));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 4u);
  const std::string worker = starts[0].worker;
  worker_report report;
  for (const start_command& start : starts)
    report.running.push_back(MakeReportedRun(start, 0, 100));
  Report(worker, report);
  workers[static_cast<std::size_t>(worker[2] - '1')].draining = true;
  scheduler.SetWorkers(workers);
  // Half of them move at a time.
  BOOST_TEST(RunRound().empty());
  BOOST_REQUIRE(stops.size() == 2u);
  BOOST_TEST(RunRound().empty());
  BOOST_TEST(stops.empty());
  Advance(std::chrono::milliseconds(400));
  report.running.clear();
  for (const start_command& start : starts) {
    const bool stopped = start.task.index < 2;
    if (stopped)
      report.ended.push_back({start.task.index + 1, start.task, start.run,
                              run_outcome::kStopped, "at-its-stop"});
    else
      report.running.push_back(MakeReportedRun(start, 0, 100));
  }
  Report(worker, report);
  const auto moved = RunRound();
  BOOST_REQUIRE(moved.size() == 2u);
  for (const start_command& start : moved) {
    BOOST_TEST(start.worker != worker);
    BOOST_TEST(start.checkpoint == "at-its-stop");
  }
}

/// A service with a task on each of two workers. The first of them drains while
/// the task of the second does not serve.
struct half_served_fixture : scheduler_fixture {
  half_served_fixture() {
    step_request service = MakeStep(2, 3000);
    service.long_running = true;
    service.max_unavailable = 1;
    service.max_per_worker = 1;
    scheduler.Accept(MakeSubmission("a", service));
    starts = RunRound();
    BOOST_REQUIRE(starts.size() == 2u);
    ReportAll();
  }

  void ReportAll() {
    for (const worker_description& worker : workers)
      if (worker.id != starts[0].worker && worker.id != starts[1].worker)
        Report(worker.id, {});
    Report(starts[0].worker, {.running = {MakeReportedRun(starts[0], 0, 100)}});
    Report(starts[1].worker, {.running = {MakeReportedRun(starts[1], 0, 50)}});
  }

  void Drain(std::optional<base::time_point> stays_until) {
    for (worker_description& worker : workers)
      if (worker.id == starts[0].worker) {
        worker.draining = true;
        worker.stays_until = stays_until;
      }
    scheduler.SetWorkers(workers);
  }

  /// The tasks that are told to stop in a round after `time`.
  std::vector<task_ref> StoppedAfter(std::chrono::milliseconds time) {
    Advance(time);
    ReportAll();
    RunRound();
    std::vector<task_ref> stopped;
    for (const stop_command& stop : stops)
      stopped.push_back(stop.task);
    return stopped;
  }

  std::vector<start_command> starts;
};

BOOST_FIXTURE_TEST_CASE(
    AWorkersLastTaskOfAHalfServedStepLeavesOnceTimeRunsShort,
    half_served_fixture) {
  Drain(now + std::chrono::milliseconds(6000));
  BOOST_TEST(StoppedAfter(std::chrono::milliseconds(0)).empty());
  BOOST_TEST(StoppedAfter(std::chrono::milliseconds(3000)).empty());
  const auto stopped = StoppedAfter(std::chrono::milliseconds(2000));
  BOOST_REQUIRE(stopped.size() == 1u);
  BOOST_TEST((stopped[0] == starts[0].task));
}

BOOST_FIXTURE_TEST_CASE(ATaskLeavesAWorkerThatIsOverdueAtOnce,
                        half_served_fixture) {
  Drain(now - std::chrono::milliseconds(100));
  BOOST_TEST(StoppedAfter(std::chrono::milliseconds(0)).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(AStepKeepsItsLimitWhileTheTimeOfLeavingIsUnknown,
                        half_served_fixture) {
  Drain(std::nullopt);
  BOOST_TEST(StoppedAfter(std::chrono::milliseconds(0)).empty());
  BOOST_TEST(StoppedAfter(std::chrono::milliseconds(6000)).empty());
}

BOOST_FIXTURE_TEST_CASE(ATaskStaysWhenTimeRunsShortWhileNoOtherHasCapacity,
                        half_served_fixture) {
  for (worker_description& worker : workers)
    if (worker.id != starts[0].worker && worker.id != starts[1].worker)
      worker.capacity.processors_milli = 0;
  Drain(now);
  BOOST_TEST(StoppedAfter(std::chrono::milliseconds(0)).empty());
}

BOOST_AUTO_TEST_CASE(AllTasksLeaveTogetherOnceTimeRunsShort) {
  step_request service = MakeStep(4, 3000);
  service.long_running = true;
  service.max_unavailable = 1;
  scheduler.Accept(MakeSubmission("a", service));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 4u);
  worker_report report;
  for (const start_command& start : starts)
    report.running.push_back(MakeReportedRun(start, 0, 100));
  Report(starts[0].worker, report);
  for (worker_description& worker : workers)
    if (worker.id == starts[0].worker) {
      worker.draining = true;
      worker.stays_until = now + std::chrono::milliseconds(1000);
    }
  scheduler.SetWorkers(workers);
  RunRound();
  BOOST_TEST(stops.size() == 4u);
}

/// A service whose two tasks don't fit on one worker.
struct two_workers_fixture : scheduler_fixture {
  two_workers_fixture() {
    service.steps[0].long_running = true;
    service.steps[0].max_unavailable = 1;
    scheduler.Accept(service);
    starts = RunRound();
    BOOST_REQUIRE(starts.size() == 2u);
    BOOST_REQUIRE(starts[0].worker != starts[1].worker);
  }

  submission service = MakeSubmission("a", MakeStep(2, 12'000));
  std::vector<start_command> starts;
};

BOOST_FIXTURE_TEST_CASE(ATaskThatDoesNotServeYetLeavesADrainingWorker,
                        two_workers_fixture) {
  Report(starts[0].worker, {.running = {MakeReportedRun(starts[0], 0, 50)}});
  Report(starts[1].worker, {.running = {MakeReportedRun(starts[1], 0, 100)}});
  workers[static_cast<std::size_t>(starts[0].worker[2] - '1')].draining = true;
  scheduler.SetWorkers(workers);
  RunRound();
  // The only task that is unavailable is the one that moves.
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].task == starts[0].task));
}

BOOST_FIXTURE_TEST_CASE(ATaskLeavesADrainingWorkerThoughAnotherWorkerIsLost,
                        two_workers_fixture) {
  shard_scheduler next(settings, {});
  next.Accept(service);
  next.Restore(scheduler.Snapshot());
  next.FinishRestore(now, now, std::chrono::milliseconds(12'000));
  workers[static_cast<std::size_t>(starts[0].worker[2] - '1')].draining = true;
  next.SetWorkers(workers);
  std::size_t stopped = 0;
  for (std::chrono::milliseconds passed{0}; passed < kDrainTime;
       passed += kStep) {
    Advance(kStep);
    for (const worker_description& worker : workers)
      if (worker.id == starts[0].worker)
        ReportTo(next, worker.id,
                 {.running = {MakeReportedRun(starts[0], 0, 100)}});
      else if (worker.id == starts[1].worker)
        next.OnPollUnanswered(worker.id, now);
      else
        ReportTo(next, worker.id, {});
    RunRoundOn(next);
    stopped += stops.size();
  }
  BOOST_TEST(stopped > 0u);
}

BOOST_AUTO_TEST_CASE(
    LongRunningTasksStayOnADrainingWorkerWhileNoOtherHasCapacity) {
  step_request service = MakeStep(4, 16'000);
  service.long_running = true;
  scheduler.Accept(MakeSubmission("a", service));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 4u);
  for (const start_command& start : starts) {
    worker_report report;
    report.running = {MakeReportedRun(start, 0, 100)};
    Report(start.worker, report);
  }
  workers[0].draining = true;
  scheduler.SetWorkers(workers);
  RunRound();
  BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_CASE(FailedLongRunningTaskGetsCapacityBeforeQueuedTasks) {
  step_request service = MakeStep(1, 10'000);
  service.long_running = true;
  scheduler.Accept(MakeSubmission("service", service));
  const auto service_starts = RunRound();
  BOOST_REQUIRE(service_starts.size() == 1u);
  // Small tasks occupy all remaining capacity, and more of them wait.
  scheduler.Accept(MakeSubmission("small", MakeStep(200, 2000)));
  std::map<std::string, std::vector<start_command>> small_tasks_on;
  for (const start_command& start : RunRound())
    small_tasks_on[start.worker].push_back(start);
  // The service's task fails and its worker drains; the small tasks of another
  // worker end one after the other.
  const std::string first_worker = service_starts[0].worker;
  std::int64_t number = 0;
  worker_report report;
  report.ended = {
      {++number, service_starts[0].task, 1, run_outcome::kFailed, ""}};
  for (const start_command& start : small_tasks_on[first_worker])
    report.running.push_back(MakeReportedRun(start));
  workers[static_cast<std::size_t>(first_worker[2] - '1')].draining = true;
  scheduler.SetWorkers(workers);
  Report(first_worker, report);
  const std::string second_worker = first_worker == "w-1" ? "w-2" : "w-1";
  worker_report second_report;
  std::vector<start_command> restarted;
  for (std::size_t i = 0; i < small_tasks_on[second_worker].size(); ++i) {
    second_report.running.clear();
    for (std::size_t k = i + 1; k < small_tasks_on[second_worker].size(); ++k)
      second_report.running.push_back(
          MakeReportedRun(small_tasks_on[second_worker][k]));
    second_report.ended.push_back({static_cast<std::int64_t>(i) + 1,
                                   small_tasks_on[second_worker][i].task, 1,
                                   run_outcome::kDone, ""});
    Report(second_worker, second_report);
    restarted = RunRound();
    if (i + 1 < 5)
      BOOST_TEST(restarted.empty());
    else
      break;
  }
  // Five small tasks ended, which frees ten cores, the demand of the service.
  BOOST_REQUIRE(restarted.size() == 1u);
  BOOST_TEST(restarted[0].task.submission == "service");
  BOOST_TEST(restarted[0].worker == second_worker);
}

BOOST_AUTO_TEST_CASE(OnlyTheLongCheckpointingTaskLeavesADrainingWorker) {
  step_request step = MakeStep(1, 3000);
  step.checkpoints = true;
  step.estimate = std::chrono::milliseconds(20'000);
  scheduler.Accept(MakeSubmission("long", step));
  step.estimate = std::chrono::milliseconds(1000);
  scheduler.Accept(MakeSubmission("short", step));
  RunRound();
  for (worker_description& worker : workers)
    worker.draining = worker.id != "w-4";
  scheduler.SetWorkers(workers);
  RunRound();
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].task.submission == "long");
}

BOOST_AUTO_TEST_CASE(StartCarriedOutByTheNextIncarnationIsKept) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  // The worker restarted just before the command arrived.
  Advance(std::chrono::milliseconds(50));
  worker_report report;
  report.started_at_ms = 2;
  report.running = {MakeReportedRun(starts[0])};
  Report(starts[0].worker, report);
  BOOST_TEST(RunRound().empty());
  BOOST_TEST(stops.empty());
  report.running.clear();
  report.ended = {{1, starts[0].task, 1, run_outcome::kDone, ""}};
  Advance(std::chrono::milliseconds(50));
  Report(starts[0].worker, report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(EndsOfTheNextIncarnationAreNotForgottenUnseen) {
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto first = RunRound();
  BOOST_REQUIRE(first.size() == 1u);
  worker_report report;
  report.ended = {{1, first[0].task, 1, run_outcome::kDone, ""}};
  Report("w-1", report);
  RunRound();
  // The worker restarts, carries a start out and ends it before a poll.
  scheduler.Accept(MakeSubmission("b", MakeStep(1, 1000)));
  const auto second = RunRound();
  BOOST_REQUIRE(second.size() == 1u);
  Advance(std::chrono::milliseconds(800));
  scheduler.OnPollUnanswered("w-1", now);
  // It forgets the ends up to the number that the poll acknowledges.
  report = {.started_at_ms = 2};
  if (scheduler.AcknowledgedEnd("w-1") < 1)
    report.ended = {{1, second[0].task, 1, run_outcome::kDone, ""}};
  Report("w-1", report);
  BOOST_TEST(RunRound().empty());
}

BOOST_AUTO_TEST_CASE(StartInFlightDuringARestartIsNotGivenUp) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(scheduler.TakeBatch()->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  Advance(std::chrono::milliseconds(5));
  worker_report report;
  report.started_at_ms = 2;
  Report(starts[0].worker, report);
  // The run may still start there.
  BOOST_TEST(RunRound().empty());
  scheduler.OnStartOutcome(starts[0], start_outcome::kStarted, now);
  BOOST_TEST(RunRound().empty());
  Advance(std::chrono::milliseconds(50));
  report.running = {MakeReportedRun(starts[0])};
  Report(starts[0].worker, report);
  BOOST_TEST(RunRound().empty());
  BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_CASE(RunsLostInAWorkerRestartAreStartedAgain) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  Advance(std::chrono::milliseconds(50));
  worker_report report;
  report.running = {MakeReportedRun(starts[0])};
  Report(starts[0].worker, report);
  Advance(std::chrono::milliseconds(50));
  report = {};
  report.started_at_ms = 2;
  Report(starts[0].worker, report);
  const auto restarted = RunRound();
  BOOST_REQUIRE(restarted.size() == 1u);
  BOOST_TEST(restarted[0].run == 2);
}

BOOST_AUTO_TEST_CASE(RunsOfAReplacedWorkerAreStartedAgainAtOnce) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  Advance(std::chrono::milliseconds(50));
  scheduler.OnWorkerReplaced(starts[0].worker, now, now);
  const auto restarted = RunRound();
  BOOST_REQUIRE(restarted.size() == 1u);
  BOOST_TEST(restarted[0].run == 2);
  BOOST_TEST(restarted[0].worker != starts[0].worker);
}

BOOST_AUTO_TEST_CASE(RunsBegunAfterTheRequestOutliveAnAnswerOfAnotherWorker) {
  const base::time_point requested_at = now;
  Advance(std::chrono::milliseconds(50));
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  scheduler.OnWorkerReplaced(starts[0].worker, requested_at, now);
  BOOST_TEST(RunRound().empty());
}

BOOST_AUTO_TEST_CASE(WorkerWithUnknownRunsGetsNoStartsUntilTheyEnd) {
  workers.resize(1);
  scheduler.SetWorkers(workers);
  worker_report report;
  report.running = {{{"stranger", 0, 0, 0}, 3, "", 10, 0}};
  Report("w-1", report);
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  BOOST_TEST(RunRound().empty());
  BOOST_TEST(stops.size() == 1u);
  Advance(std::chrono::milliseconds(300));
  report.running.clear();
  report.ended = {{1, {"stranger", 0, 0, 0}, 3, run_outcome::kStopped, ""}};
  Report("w-1", report);
  BOOST_TEST(RunRound().size() == 1u);
}

BOOST_AUTO_TEST_CASE(WorkerWithoutCapacityIsRetriedOnlyAfterItsNextReport) {
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(scheduler.TakeBatch()->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  scheduler.OnStartOutcome(starts[0], start_outcome::kNoCapacity, now);
  Advance(std::chrono::milliseconds(700));
  BOOST_TEST(RunRound().empty());
  Report("w-1", {});
  BOOST_TEST(RunRound().size() == 1u);
}

BOOST_AUTO_TEST_CASE(RunOfAnUnknownSubmissionIsStopped) {
  worker_report report;
  report.running = {{{"stranger", 0, 0, 0}, 3, "", 10, 0}};
  Report("w-1", report);
  RunRound();
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].run == 3);
}

BOOST_AUTO_TEST_CASE(AssignedButUnreportedSubmissionIsUnstartedAfterTakeover) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  // The owner dies between its commit and its commands; another owner takes
  // over.
  const journal_entry decided{false, batch->tasks, {}};
  shard_scheduler next(settings, {});
  next.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  next.Restore(decided);
  next.FinishRestore(now, now, settings.worker_lease);
  next.SetWorkers(workers);
  BOOST_TEST(next.UnstartedSubmissions().size() == 1u);
  Advance(std::chrono::milliseconds(100));
  for (const worker_description& worker : workers)
    ReportTo(next, worker.id, {});
  BOOST_TEST(next.UnstartedSubmissions().size() == 1u);
}

BOOST_AUTO_TEST_CASE(ReportedRunIsNotUnstartedAfterTakeover) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(scheduler.UnstartedSubmissions().empty());
  shard_scheduler next(settings, {});
  next.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  next.Restore(scheduler.Snapshot());
  next.FinishRestore(now, now, settings.worker_lease);
  next.SetWorkers(workers);
  worker_report report;
  report.running = {MakeReportedRun(starts[0])};
  ReportTo(next, starts[0].worker, report);
  BOOST_TEST(next.UnstartedSubmissions().empty());
}

BOOST_AUTO_TEST_CASE(LongRunningTaskOfALostWorkerRestartsWithinNineSeconds) {
  scheduler_settings longest;
  longest.worker_lease = WorkerLeaseFor(std::chrono::seconds(10));
  shard_scheduler next(longest, {});
  next.FinishRestore(now, now, std::chrono::milliseconds(0));
  next.SetWorkers(workers);
  for (const worker_description& worker : workers)
    ReportTo(next, worker.id, {});
  step_request service = MakeStep(1, 1000);
  service.long_running = true;
  next.Accept(MakeSubmission("a", service));
  const auto starts = RunRoundOn(next);
  BOOST_REQUIRE(starts.size() == 1u);
  const std::string lost_worker = starts[0].worker;
  worker_report service_report;
  service_report.running = {MakeReportedRun(starts[0], 0, 100)};
  ReportTo(next, lost_worker, service_report);
  const base::time_point lost_at = now;
  std::vector<start_command> restarted;
  while (restarted.empty() && now - lost_at < std::chrono::seconds(12)) {
    Advance(std::chrono::milliseconds(100));
    for (const worker_description& worker : workers)
      if (worker.id != lost_worker)
        ReportTo(next, worker.id, {});
    restarted = RunRoundOn(next);
  }
  BOOST_REQUIRE(restarted.size() == 1u);
  BOOST_TEST(restarted[0].worker != lost_worker);
  BOOST_TEST((now - lost_at < std::chrono::seconds(9)));
  // It must not run again before the lease has expired on the slowest clock.
  BOOST_TEST((now - lost_at > longest.worker_lease * 1.04));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
