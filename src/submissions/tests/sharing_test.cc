#include <set>

#include "chivecrank/submissions/record_codec.h"
#include "scheduler_fixture.h"

namespace chivecrank::submissions {

BOOST_FIXTURE_TEST_SUITE(sharing, scheduler_fixture)

BOOST_AUTO_TEST_CASE(ANewOwnerKnowsWhatItsPredecessorLearned) {
  const step_request service = ServiceStep(3000);
  const step_request filling = FillingStep(1, 6000, "heavy");
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
  BOOST_REQUIRE(entry.value().interference_estimates.size() == 1u);
  BOOST_TEST(entry.value().interference_estimates[0].service_image ==
             "service");
  BOOST_TEST(entry.value().interference_estimates[0].filling_image == "heavy");
  BOOST_TEST(entry.value().interference_estimates[0].slope > 0.6);

  report.running = {Running(serving[0], 20, 100)};
  for (const bool knows : {false, true}) {
    journal_entry restored = entry.value();
    if (!knows)
      restored.interference_estimates.clear();
    shard_scheduler next(settings, {});
    next.Accept(Request("a", service));
    next.Accept(Request("c", filling));
    next.Restore(restored);
    next.FinishRestore(now, now + settings.worker_lease);
    next.SetWorkers(workers);
    ReportTo(next, "w-1", report);
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

BOOST_AUTO_TEST_CASE(ASlowedTaskIsNotMovedToWhereItRuns) {
  const step_request service = ServiceStep(3000);
  const step_request filling = FillingStep(1, 4000, "batch");
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
  report.ended = {{1, beside[0].task, 1, run_outcome::kDone, ""}};
  Pass(std::chrono::milliseconds(200));
  Report("w-1", report);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->outcomes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(ManyTasksThatAddLittleAreSlowedWhenAServiceStaysOver) {
  const step_request service = ServiceStep(3000);
  scheduler.Accept(Request("a", service));
  const auto serving = Round();
  BOOST_REQUIRE(serving.size() == 1u);
  const std::string worker = serving[0].worker;
  worker_report report;
  report.running = {Running(serving[0], 20, 100)};
  Report(worker, report);
  // Each of these presses by a thousandth of the worker: none is blamed alone.
  step_request fill = FillingStep(40, 50, "fill");
  fill.required_label = worker;
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
  for (reported_run& listed : report.running)
    if (listed.task == serving[0].task)
      listed.measurement = 60;
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

BOOST_AUTO_TEST_CASE(AFillingTaskGoesWhereServicesCanBearIt) {
  const step_request service = ServiceStep(12'000);
  const step_request filling = FillingStep(2, 6000, "batch");
  journal_entry known;
  known.interference_estimates = {{"service", "batch", 0.6, 0.01}};
  shard_scheduler next(settings, {});
  workers.resize(2);
  next.Accept(Request("a", service));
  next.Accept(Request("b", service));
  next.Restore(known);
  next.FinishRestore(now, now);
  next.SetWorkers(workers);
  ReportTo(next, "w-1", {});
  ReportTo(next, "w-2", {});
  const auto serving = RoundOf(next);
  BOOST_REQUIRE(serving.size() == 2u);
  // One service is near its bound, the other one is calm.
  for (int i = 0; i < 20; ++i) {
    Pass(std::chrono::milliseconds(100));
    worker_report pressed;
    pressed.running = {Running(serving[0], 38, 100)};
    ReportTo(next, serving[0].worker, pressed);
    worker_report calm;
    calm.running = {Running(serving[1], 14, 100)};
    ReportTo(next, serving[1].worker, calm);
  }
  next.Accept(Request("c", filling));
  const auto beside = RoundOf(next);
  // A second task would bring the calm one to its bound as well.
  BOOST_REQUIRE(beside.size() == 1u);
  BOOST_TEST(beside[0].worker == serving[1].worker);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
