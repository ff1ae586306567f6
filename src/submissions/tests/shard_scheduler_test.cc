#include <set>

#include "scheduler_fixture.h"

namespace chivecrank::submissions {

BOOST_FIXTURE_TEST_SUITE(shard_scheduling, scheduler_fixture)

BOOST_AUTO_TEST_CASE(StartCommandsWaitForTheCommitOfTheirBatch) {
  scheduler.Accept(MakeSubmission("a", MakeStep(3, 1000)));
  scheduler.Plan(now, since_epoch);
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->tasks.size() == 3u);
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(scheduler.TakeCommands(now).starts.size() == 3u);
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
}

BOOST_AUTO_TEST_CASE(RunEndIsAcknowledgedOnlyAfterItsCommit) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  const std::string worker = starts[0].worker;
  worker_report report;
  report.ended = {{7, starts[0].task, starts[0].run, run_outcome::kDone, ""}};
  Report(worker, report);
  BOOST_TEST(scheduler.AcknowledgedEnd(worker) == 0);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->outcomes.size() == 1u);
  BOOST_TEST((batch->outcomes[0].outcome == submission_outcome::kCompleted));
  BOOST_TEST(scheduler.AcknowledgedEnd(worker) == 0);
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(scheduler.AcknowledgedEnd(worker) == 7);
}

BOOST_AUTO_TEST_CASE(StepStartsOnlyAfterItsPrerequisitesAreDone) {
  submission request = MakeSubmission("a", MakeStep(2, 1000));
  request.steps.push_back(MakeStep(1, 1000));
  request.steps[1].after = {0};
  scheduler.Accept(request);
  const auto first = RunRound();
  BOOST_REQUIRE(first.size() == 2u);
  worker_report report;
  report.ended = {{1, first[0].task, 1, run_outcome::kDone, ""}};
  if (first[1].worker == first[0].worker)
    report.running = {MakeReportedRun(first[1])};
  Report(first[0].worker, report);
  BOOST_TEST(RunRound().empty());
  report.running.clear();
  report.ended = {{1, first[1].task, 1, run_outcome::kDone, ""}};
  if (first[1].worker == first[0].worker)
    report.ended[0].number = 2;
  Report(first[1].worker, report);
  const auto second = RunRound();
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST(second[0].task.step == 1);
}

BOOST_AUTO_TEST_CASE(ReservationsNeverExceedWorkerCapacity) {
  scheduler.Accept(MakeSubmission("a", MakeStep(20, 5000)));
  std::map<std::string, int> tasks_of;
  for (const start_command& start : RunRound())
    ++tasks_of[start.worker];
  BOOST_TEST(tasks_of.size() == 4u);
  for (const auto& [worker, tasks] : tasks_of)
    BOOST_TEST(tasks == 3);
}

BOOST_AUTO_TEST_CASE(PlacementRespectsPerWorkerLimitAndRequiredLabel) {
  step_request step = MakeStep(8, 500);
  step.max_per_worker = 1;
  step.required_label = "rack-2";
  scheduler.Accept(MakeSubmission("a", step));
  std::set<std::string> used;
  for (const start_command& start : RunRound())
    BOOST_TEST(used.insert(start.worker).second);
  BOOST_TEST((used == std::set<std::string>{"w-3", "w-4"}));
}

BOOST_AUTO_TEST_CASE(GangStartsAllTasksOrNone) {
  step_request step = MakeStep(14, 5000);
  step.gang = true;
  scheduler.Accept(MakeSubmission("a", step));
  BOOST_TEST(RunRound().empty());
  step.task_count = 6;
  step.same_rack = true;
  scheduler.Accept(MakeSubmission("b", step));
  const auto starts = RunRound();
  BOOST_TEST(starts.size() == 6u);
  std::set<bool> first_rack;
  for (const start_command& start : starts)
    first_rack.insert(start.worker < "w-3");
  BOOST_TEST(first_rack.size() == 1u);
}

BOOST_AUTO_TEST_CASE(EndOfOneGangMemberCompletesTheGang) {
  step_request step = MakeStep(3, 1000);
  step.gang = true;
  scheduler.Accept(MakeSubmission("a", step));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 3u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_outcome::kDone, ""}};
  Report(starts[0].worker, report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
  BOOST_TEST(scheduler.Load().reserved.processors_milli == 0);
}

BOOST_AUTO_TEST_CASE(OccurrenceStartsAtItsDueTime) {
  submission request = MakeSubmission("a", MakeStep(1, 1000));
  request.repeats = {2, since_epoch + std::chrono::milliseconds(500),
                     std::chrono::milliseconds(1000)};
  scheduler.Accept(request);
  BOOST_TEST(RunRound().empty());
  since_epoch += std::chrono::milliseconds(500);
  BOOST_TEST(RunRound().size() == 1u);
  since_epoch += std::chrono::milliseconds(1000);
  const auto second = RunRound();
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST(second[0].task.occurrence == 1);
}

BOOST_AUTO_TEST_CASE(SubmissionFailsWhenATaskReachesItsAttemptLimit) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  std::string first_worker;
  for (std::int32_t attempt = 1; attempt <= 2; ++attempt) {
    const auto starts = RunRound();
    BOOST_REQUIRE(starts.size() == 1u);
    // The second attempt goes to another worker.
    BOOST_TEST(starts[0].worker != first_worker);
    first_worker = starts[0].worker;
    worker_report report;
    report.ended = {
        {attempt, starts[0].task, starts[0].run, run_outcome::kFailed, ""}};
    Report(starts[0].worker, report);
  }
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->outcomes.size() == 1u);
  BOOST_TEST((batch->outcomes[0].outcome == submission_outcome::kFailed));
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(RunRound().empty());
}

BOOST_AUTO_TEST_CASE(FailureReportedAgainAfterTakeoverCountsOnce) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_outcome::kFailed, ""}};
  Report(starts[0].worker, report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());

  shard_scheduler next(settings, {});
  next.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  next.Restore({false, batch->tasks});
  next.FinishRestore(now, now, std::chrono::milliseconds(0));
  next.SetWorkers(workers);
  report.started_at_ms = 1;
  next.OnLeaseSent(starts[0].worker, now);
  next.OnReport(starts[0].worker, report, now, now);
  next.Plan(now, since_epoch);
  const auto second = next.TakeBatch();
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->outcomes.empty());
  BOOST_REQUIRE(second->tasks.size() == 1u);
  BOOST_TEST(second->tasks[0].progress.failures == 1);
  BOOST_TEST(second->tasks[0].progress.run == 2);
}

BOOST_AUTO_TEST_CASE(
    SubmissionStartedByAnEarlierOwnerIsNotMovedToAnotherShard) {
  submission request = MakeSubmission("a", MakeStep(1, 1000));
  request.steps.push_back(MakeStep(1, 1000));
  request.steps[1].after = {0};
  task_change done;
  done.task = {"a", 0, 0, 0};
  done.progress.phase = task_phase::kDone;
  done.progress.run = 1;
  shard_scheduler next(settings, {});
  next.Accept(request);
  next.Restore({false, {done}});
  next.FinishRestore(now, now, std::chrono::milliseconds(0));
  // No worker answers, so the second step finds no capacity.
  next.Plan(now, since_epoch);
  Advance(std::chrono::seconds(5));
  next.Plan(now, since_epoch);
  const auto min_wait = [](const submission&) {
    return std::chrono::seconds(1);
  };
  BOOST_TEST(next.UnplacedSubmissions(now, min_wait).empty());
  BOOST_TEST(!next.BeginMove("a"));
}

BOOST_AUTO_TEST_CASE(SubmissionThatFailedBeforeTakeoverIsReportedAsFailed) {
  task_change failed;
  failed.task = {"a", 0, 0, 0};
  failed.progress.run = 2;
  failed.progress.failures = 2;
  failed.progress.last_counted_failure = 2;
  shard_scheduler next(settings, {});
  next.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  next.Restore({false, {failed}});
  next.FinishRestore(now, now, std::chrono::milliseconds(0));
  const auto batch = next.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->outcomes.size() == 1u);
  BOOST_TEST((batch->outcomes[0].outcome == submission_outcome::kFailed));
}

BOOST_AUTO_TEST_CASE(RunWithUncertainStartIsStoppedBeforeItsTaskStartsAgain) {
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(scheduler.TakeBatch()->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  scheduler.OnStartOutcome(starts[0], start_outcome::kUnknown, now);
  Advance(std::chrono::milliseconds(10));
  Report(starts[0].worker, {});
  BOOST_TEST(RunRound().empty());
  BOOST_REQUIRE(stops.size() == 1u);
  scheduler.OnStopOutcome(stops[0], true, now);
  Advance(std::chrono::milliseconds(10));
  Report(starts[0].worker, {});
  const auto restarted = RunRound();
  BOOST_REQUIRE(restarted.size() == 1u);
  BOOST_TEST(restarted[0].run == 2);
}

BOOST_AUTO_TEST_CASE(NothingIsUnplacedBeforeAWorkerHasAnsweredANewOwner) {
  shard_scheduler next(settings, {});
  next.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  next.FinishRestore(now, now, settings.worker_lease);
  next.SetWorkers(workers);
  next.Plan(now, since_epoch);
  // Workers with runs hold the answer to the first poll for 600 ms.
  Advance(std::chrono::milliseconds(400));
  next.Plan(now, since_epoch);
  const auto min_wait = [](const submission&) {
    return std::chrono::milliseconds(200);
  };
  BOOST_TEST(next.UnplacedSubmissions(now, min_wait).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
