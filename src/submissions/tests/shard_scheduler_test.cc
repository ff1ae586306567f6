#include <set>

#include "chivecrank/submissions/record_codec.h"
#include "scheduler_fixture.h"

namespace chivecrank::submissions {

BOOST_FIXTURE_TEST_SUITE(shard_scheduling, scheduler_fixture)

BOOST_AUTO_TEST_CASE(NothingStartsBeforeItsDecisionIsCommitted) {
  scheduler.Accept(Request("a", Step(3, 1000)));
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

BOOST_AUTO_TEST_CASE(AnEndIsAcknowledgedOnlyWhenItIsCommitted) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 1u);
  const std::string worker = starts[0].worker;
  worker_report report;
  report.ended = {{7, starts[0].task, starts[0].run, run_end::kDone, ""}};
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

BOOST_AUTO_TEST_CASE(AStepWaitsForTheOnesBeforeIt) {
  submission request = Request("a", Step(2, 1000));
  request.steps.push_back(Step(1, 1000));
  request.steps[1].after = {0};
  scheduler.Accept(request);
  const auto first = Round();
  BOOST_REQUIRE(first.size() == 2u);
  worker_report report;
  report.ended = {{1, first[0].task, 1, run_end::kDone, ""}};
  if (first[1].worker == first[0].worker)
    report.running = {Running(first[1])};
  Report(first[0].worker, report);
  BOOST_TEST(Round().empty());
  report.running.clear();
  report.ended = {{1, first[1].task, 1, run_end::kDone, ""}};
  if (first[1].worker == first[0].worker)
    report.ended[0].number = 2;
  Report(first[1].worker, report);
  const auto second = Round();
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST(second[0].task.step == 1);
}

BOOST_AUTO_TEST_CASE(NoWorkerIsCommittedBeyondItsCapacity) {
  scheduler.Accept(Request("a", Step(20, 5000)));
  std::map<std::string, int> tasks_of;
  for (const start_command& start : Round())
    ++tasks_of[start.worker];
  BOOST_TEST(tasks_of.size() == 4u);
  for (const auto& [worker, tasks] : tasks_of)
    BOOST_TEST(tasks == 3);
}

BOOST_AUTO_TEST_CASE(AStepKeepsItsBoundPerWorkerAndItsLabel) {
  step_request step = Step(8, 500);
  step.most_per_worker = 1;
  step.required_label = "rack-2";
  scheduler.Accept(Request("a", step));
  std::set<std::string> used;
  for (const start_command& start : Round())
    BOOST_TEST(used.insert(start.worker).second);
  BOOST_TEST((used == std::set<std::string>{"w-3", "w-4"}));
}

BOOST_AUTO_TEST_CASE(AGangStartsWholeOrNotAtAll) {
  step_request step = Step(14, 5000);
  step.gang = true;
  scheduler.Accept(Request("a", step));
  BOOST_TEST(Round().empty());
  step.task_count = 6;
  step.same_rack = true;
  scheduler.Accept(Request("b", step));
  const auto starts = Round();
  BOOST_TEST(starts.size() == 6u);
  std::set<bool> first_rack;
  for (const start_command& start : starts)
    first_rack.insert(start.worker < "w-3");
  BOOST_TEST(first_rack.size() == 1u);
}

BOOST_AUTO_TEST_CASE(OneEndOfAGangStandsForAll) {
  step_request step = Step(3, 1000);
  step.gang = true;
  scheduler.Accept(Request("a", step));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 3u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_end::kDone, ""}};
  Report(starts[0].worker, report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
  BOOST_TEST(scheduler.Load().reserved.processors_milli == 0);
}

BOOST_AUTO_TEST_CASE(AnOccurrenceStartsWhenItIsDue) {
  submission request = Request("a", Step(1, 1000));
  request.repeats = {2, since_epoch + std::chrono::milliseconds(500),
                     std::chrono::milliseconds(1000)};
  scheduler.Accept(request);
  BOOST_TEST(Round().empty());
  since_epoch += std::chrono::milliseconds(500);
  BOOST_TEST(Round().size() == 1u);
  since_epoch += std::chrono::milliseconds(1000);
  const auto second = Round();
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST(second[0].task.occurrence == 1);
}

BOOST_AUTO_TEST_CASE(ATaskFailsItsSubmissionAtTheLimitOfAttempts) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  std::string first_worker;
  for (std::int32_t attempt = 1; attempt <= 2; ++attempt) {
    const auto starts = Round();
    BOOST_REQUIRE(starts.size() == 1u);
    // Another worker gets the second attempt.
    BOOST_TEST(starts[0].worker != first_worker);
    first_worker = starts[0].worker;
    worker_report report;
    report.ended = {
        {attempt, starts[0].task, starts[0].run, run_end::kFailed, ""}};
    Report(starts[0].worker, report);
  }
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->outcomes.size() == 1u);
  BOOST_TEST((batch->outcomes[0].outcome == submission_outcome::kFailed));
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(Round().empty());
}

BOOST_AUTO_TEST_CASE(AFailureThatIsListedAgainAfterATakeoverCountsOnce) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 1u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_end::kFailed, ""}};
  Report(starts[0].worker, report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());

  shard_scheduler next(settings, {});
  next.Accept(Request("a", Step(1, 1000)));
  next.Restore({false, batch->tasks});
  next.FinishRestore(now, now);
  next.SetWorkers(workers);
  report.born_ms = 1;
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

BOOST_AUTO_TEST_CASE(WhatStartedUnderAnEarlierOwnerMovesToNoOtherShard) {
  submission request = Request("a", Step(1, 1000));
  request.steps.push_back(Step(1, 1000));
  request.steps[1].after = {0};
  task_change done;
  done.task = {"a", 0, 0, 0};
  done.progress.phase = task_phase::kDone;
  done.progress.run = 1;
  shard_scheduler next(settings, {});
  next.Accept(request);
  next.Restore({false, {done}});
  next.FinishRestore(now, now);
  // No worker answers, so the second step finds no room.
  next.Plan(now, since_epoch);
  Pass(std::chrono::seconds(5));
  next.Plan(now, since_epoch);
  BOOST_TEST(next.Stranded(now, std::chrono::seconds(1)).empty());
  BOOST_TEST(!next.BeginMove("a"));
}

BOOST_AUTO_TEST_CASE(ASubmissionThatFailedBeforeTheTakeoverStaysFailed) {
  task_change failed;
  failed.task = {"a", 0, 0, 0};
  failed.progress.run = 2;
  failed.progress.failures = 2;
  failed.progress.counted_run = 2;
  shard_scheduler next(settings, {});
  next.Accept(Request("a", Step(1, 1000)));
  next.Restore({false, {failed}});
  next.FinishRestore(now, now);
  const auto batch = next.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_REQUIRE(batch->outcomes.size() == 1u);
  BOOST_TEST((batch->outcomes[0].outcome == submission_outcome::kFailed));
}

BOOST_AUTO_TEST_CASE(ARunWhoseStartIsInDoubtIsBarredBeforeItGoesElsewhere) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(scheduler.TakeBatch()->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  scheduler.OnStartAnswer(starts[0], start_answer::kUnknown, now);
  Pass(std::chrono::milliseconds(10));
  Report(starts[0].worker, {});
  BOOST_TEST(Round().empty());
  BOOST_REQUIRE(stops.size() == 1u);
  scheduler.OnStopAnswer(stops[0], true, now);
  Pass(std::chrono::milliseconds(10));
  Report(starts[0].worker, {});
  const auto again = Round();
  BOOST_REQUIRE(again.size() == 1u);
  BOOST_TEST(again[0].run == 2);
}

BOOST_AUTO_TEST_CASE(AWorkerThatDrainsGetsNothing) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  for (worker_description& worker : workers)
    worker.draining = true;
  scheduler.SetWorkers(workers);
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
  BOOST_TEST(Round().empty());
}

BOOST_AUTO_TEST_CASE(ServicesLeaveAWorkerBeforeItDoes) {
  step_request service = Step(4, 3000);
  service.lasting = true;
  service.most_away = 1;
  scheduler.Accept(Request("a", service));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 4u);
  const std::string worker = starts[0].worker;
  worker_report report;
  for (const start_command& start : starts)
    report.running.push_back(Running(start, 0, 100));
  Report(worker, report);
  workers[static_cast<std::size_t>(worker[2] - '1')].draining = true;
  scheduler.SetWorkers(workers);
  // Half of them at a time.
  BOOST_TEST(Round().empty());
  BOOST_REQUIRE(stops.size() == 2u);
  BOOST_TEST(Round().empty());
  BOOST_TEST(stops.empty());
  Pass(std::chrono::milliseconds(400));
  report.running.clear();
  for (const start_command& start : starts) {
    const bool stopped = start.task.index < 2;
    if (stopped)
      report.ended.push_back({start.task.index + 1, start.task, start.run,
                              run_end::kStopped, "at-its-stop"});
    else
      report.running.push_back(Running(start, 0, 100));
  }
  Report(worker, report);
  const auto moved = Round();
  BOOST_REQUIRE(moved.size() == 2u);
  for (const start_command& start : moved) {
    BOOST_TEST(start.worker != worker);
    BOOST_TEST(start.checkpoint == "at-its-stop");
  }
}

BOOST_AUTO_TEST_CASE(AWorkerThatLeavesKeepsItsServicesWhileNoOtherHasRoom) {
  step_request service = Step(4, 16'000);
  service.lasting = true;
  scheduler.Accept(Request("a", service));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 4u);
  for (const start_command& start : starts) {
    worker_report report;
    report.running = {Running(start, 0, 100)};
    Report(start.worker, report);
  }
  workers[0].draining = true;
  scheduler.SetWorkers(workers);
  Round();
  BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_CASE(AServiceThatLostATaskGetsRoomBeforeTheQueueBehindIt) {
  step_request service = Step(1, 10'000);
  service.lasting = true;
  scheduler.Accept(Request("service", service));
  const auto serving = Round();
  BOOST_REQUIRE(serving.size() == 1u);
  // Small tasks take all that is left, and more of them wait.
  scheduler.Accept(Request("small", Step(200, 2000)));
  std::map<std::string, std::vector<start_command>> small_on;
  for (const start_command& start : Round())
    small_on[start.worker].push_back(start);
  // The service's task fails; its worker's small tasks and those of another
  // one end one after the other.
  const std::string first = serving[0].worker;
  std::int64_t number = 0;
  worker_report report;
  report.ended = {{++number, serving[0].task, 1, run_end::kFailed, ""}};
  for (const start_command& start : small_on[first])
    report.running.push_back(Running(start));
  workers[static_cast<std::size_t>(first[2] - '1')].draining = true;
  scheduler.SetWorkers(workers);
  Report(first, report);
  const std::string second = first == "w-1" ? "w-2" : "w-1";
  worker_report of_second;
  std::vector<start_command> restarted;
  for (std::size_t i = 0; i < small_on[second].size(); ++i) {
    of_second.running.clear();
    for (std::size_t k = i + 1; k < small_on[second].size(); ++k)
      of_second.running.push_back(Running(small_on[second][k]));
    of_second.ended.push_back({static_cast<std::int64_t>(i) + 1,
                               small_on[second][i].task, 1, run_end::kDone,
                               ""});
    Report(second, of_second);
    restarted = Round();
    if (i + 1 < 5)
      BOOST_TEST(restarted.empty());
    else
      break;
  }
  // Five ended: ten cores, as much as the service asks for.
  BOOST_REQUIRE(restarted.size() == 1u);
  BOOST_TEST(restarted[0].task.submission == "service");
  BOOST_TEST(restarted[0].worker == second);
}

BOOST_AUTO_TEST_CASE(ALongTaskLeavesWithItsCheckpointAndAShortOneStays) {
  step_request step = Step(1, 3000);
  step.checkpoints = true;
  step.estimate = std::chrono::milliseconds(20'000);
  scheduler.Accept(Request("long", step));
  step.estimate = std::chrono::milliseconds(1000);
  scheduler.Accept(Request("short", step));
  Round();
  for (worker_description& worker : workers)
    worker.draining = worker.id != "w-4";
  scheduler.SetWorkers(workers);
  Round();
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].task.submission == "long");
}

BOOST_AUTO_TEST_CASE(AnOrderThatTheWorkersNextLifeCarriedOutStands) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 1u);
  // The worker had begun anew just before the order came.
  Pass(std::chrono::milliseconds(50));
  worker_report report;
  report.born_ms = 2;
  report.running = {Running(starts[0])};
  Report(starts[0].worker, report);
  BOOST_TEST(Round().empty());
  BOOST_TEST(stops.empty());
  report.running.clear();
  report.ended = {{1, starts[0].task, 1, run_end::kDone, ""}};
  Pass(std::chrono::milliseconds(50));
  Report(starts[0].worker, report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(AnOrderOnItsWayMayReachTheWorkersNextLife) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(scheduler.TakeBatch()->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  Pass(std::chrono::milliseconds(5));
  worker_report report;
  report.born_ms = 2;
  Report(starts[0].worker, report);
  // It may begin there yet.
  BOOST_TEST(Round().empty());
  scheduler.OnStartAnswer(starts[0], start_answer::kStarted, now);
  BOOST_TEST(Round().empty());
  Pass(std::chrono::milliseconds(50));
  report.running = {Running(starts[0])};
  Report(starts[0].worker, report);
  BOOST_TEST(Round().empty());
  BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_CASE(RunsOfAWorkersLastLifeBeginAgainElsewhere) {
  scheduler.Accept(Request("a", Step(1, 1000)));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 1u);
  Pass(std::chrono::milliseconds(50));
  worker_report report;
  report.running = {Running(starts[0])};
  Report(starts[0].worker, report);
  Pass(std::chrono::milliseconds(50));
  report = {};
  report.born_ms = 2;
  Report(starts[0].worker, report);
  const auto again = Round();
  BOOST_REQUIRE(again.size() == 1u);
  BOOST_TEST(again[0].run == 2);
}

BOOST_AUTO_TEST_CASE(ANewOwnerKnowsWhatItsPredecessorLearned) {
  step_request service = Step(1, 3000);
  service.lasting = true;
  service.latency_target = std::chrono::milliseconds(45);
  service.image = "service";
  step_request filling = Step(1, 6000);
  filling.fills = true;
  filling.image = "heavy";
  // One worker only, where both meet.
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(Request("a", service));
  const auto serving = Round();
  scheduler.Accept(Request("b", filling));
  const auto beside = Round();
  BOOST_REQUIRE(beside.size() == 1u);
  worker_report report;
  report.running = {Running(serving[0], 120, 100),
                    Running(beside[0], 6000, 20)};
  for (int i = 0; i < 10; ++i) {
    Pass(std::chrono::milliseconds(300));
    Report("w-1", report);
  }
  const auto entry =
      DecodeJournalEntry(EncodeJournalEntry(scheduler.Snapshot()));
  BOOST_REQUIRE(entry.has_value());
  BOOST_REQUIRE(entry.value().learned.size() == 1u);
  BOOST_TEST(entry.value().learned[0].service_image == "service");
  BOOST_TEST(entry.value().learned[0].filling_image == "heavy");
  BOOST_TEST(entry.value().learned[0].slope > 0.6);

  report.born_ms = 1;
  report.running = {Running(serving[0], 20, 100)};
  for (const bool knows : {false, true}) {
    journal_entry restored = entry.value();
    if (!knows)
      restored.learned.clear();
    shard_scheduler next(settings, {});
    next.Accept(Request("a", service));
    next.Accept(Request("c", filling));
    next.Restore(restored);
    next.FinishRestore(now, now + settings.worker_lease);
    next.SetWorkers(workers);
    next.OnLeaseSent("w-1", now);
    next.OnReport("w-1", report, now, now);
    next.Plan(now, since_epoch);
    // One who knows nothing of the pair tries it out.
    const auto batch = next.TakeBatch();
    const bool tried =
        batch && std::ranges::any_of(batch->tasks, [](const auto& change) {
          return change.task.submission == "c";
        });
    BOOST_TEST(tried == !knows);
  }
}

BOOST_AUTO_TEST_CASE(AWorkerWithStraysTakesNothingUntilTheyAreGone) {
  workers.resize(1);
  scheduler.SetWorkers(workers);
  worker_report report;
  report.running = {{{"stranger", 0, 0, 0}, 3, "", 10, 0}};
  Report("w-1", report);
  scheduler.Accept(Request("a", Step(1, 1000)));
  BOOST_TEST(Round().empty());
  BOOST_TEST(stops.size() == 1u);
  Pass(std::chrono::milliseconds(300));
  report.running.clear();
  report.ended = {{1, {"stranger", 0, 0, 0}, 3, run_end::kStopped, ""}};
  Report("w-1", report);
  BOOST_TEST(Round().size() == 1u);
}

BOOST_AUTO_TEST_CASE(AWorkerWithoutRoomIsAskedAgainOnlyAfterItsNextReport) {
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(Request("a", Step(1, 1000)));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(scheduler.TakeBatch()->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  scheduler.OnStartAnswer(starts[0], start_answer::kNoRoom, now);
  Pass(std::chrono::milliseconds(700));
  BOOST_TEST(Round().empty());
  Report("w-1", {});
  BOOST_TEST(Round().size() == 1u);
}

BOOST_AUTO_TEST_CASE(ASlowedTaskIsNotMovedToWhereItRuns) {
  step_request service = Step(1, 3000);
  service.lasting = true;
  service.latency_target = std::chrono::milliseconds(45);
  service.image = "service";
  step_request filling = Step(1, 4000);
  filling.fills = true;
  filling.image = "batch";
  workers.resize(1);
  scheduler.SetWorkers(workers);
  scheduler.Accept(Request("a", service));
  const auto serving = Round();
  scheduler.Accept(Request("b", filling));
  const auto beside = Round();
  BOOST_REQUIRE(beside.size() == 1u);
  const auto report_reading = [&](std::int64_t tail_ms) {
    worker_report report;
    report.running = {Running(serving[0], tail_ms, 100),
                      Running(beside[0], 4000, 20)};
    Report("w-1", report);
  };
  // Near its bound once, and calm after that: the task is slowed for a while.
  report_reading(44);
  Round();
  BOOST_REQUIRE(throttles.size() == 1u);
  BOOST_TEST(throttles[0].percent == 50);
  for (int i = 0; i < 3; ++i) {
    Pass(std::chrono::milliseconds(200));
    report_reading(13);
    BOOST_TEST(Round().empty());
    BOOST_TEST(stops.empty());
  }
  // It goes on and ends there.
  worker_report report;
  report.running = {Running(serving[0], 13, 100)};
  report.ended = {{1, beside[0].task, 1, run_end::kDone, ""}};
  Pass(std::chrono::milliseconds(200));
  Report("w-1", report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(WhatNobodyHandedInIsStopped) {
  worker_report report;
  report.running = {{{"stranger", 0, 0, 0}, 3, "", 10, 0}};
  Report("w-1", report);
  Round();
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].run == 3);
}

BOOST_AUTO_TEST_CASE(ManyTasksThatAddLittleAreSlowedWhenAServiceStaysOver) {
  step_request service = Step(1, 3000);
  service.lasting = true;
  service.latency_target = std::chrono::milliseconds(45);
  service.image = "service";
  scheduler.Accept(Request("a", service));
  const auto serving = Round();
  BOOST_REQUIRE(serving.size() == 1u);
  const std::string worker = serving[0].worker;
  worker_report report;
  report.running = {Running(serving[0], 20, 100)};
  Report(worker, report);
  // Each of these presses by a thousandth of the worker: none is blamed alone.
  step_request fill = Step(40, 50);
  fill.fills = true;
  fill.required_label = worker;
  fill.image = "fill";
  scheduler.Accept(Request("b", fill));
  std::vector<start_command> filling;
  for (int step = 0; step < 40; ++step) {
    for (const start_command& start : Round())
      if (start.worker == worker)
        filling.push_back(start);
    report.running = {Running(serving[0], 20, 100)};
    for (const start_command& start : filling)
      report.running.push_back(Running(start, 50));
    for (const worker_description& other : workers)
      Report(other.id, other.id == worker ? report : worker_report{});
    Pass(std::chrono::milliseconds(300));
  }
  BOOST_REQUIRE(!filling.empty());
  for (listed_run& listed : report.running)
    if (listed.task == serving[0].task)
      listed.reading = 60;
  std::set<task_ref> halted;
  for (int step = 0; step < 10; ++step) {
    Report(worker, report);
    Round();
    for (const throttle_command& throttle : throttles)
      if (throttle.percent == 0)
        halted.insert(throttle.task);
    for (const stop_command& stop : stops)
      halted.insert(stop.task);
    Pass(std::chrono::milliseconds(350));
  }
  BOOST_TEST(halted.size() == filling.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
