#include <algorithm>
#include <iterator>
#include <memory>
#include <set>

#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

/// Workers w-1 and w-2 are in one failure domain, w-3 and w-4 in another.
struct drain_fixture : scheduler_fixture {
  drain_fixture() {
    for (worker_description& worker : workers)
      worker.failure_domain = worker.id < "w-3" ? "north" : "south";
    scheduler.SetWorkers(workers);
  }

  static bool IsNorth(const std::string& worker) { return worker < "w-3"; }

  void Drain(const std::set<std::string>& domains) {
    scheduler.SetDrainedDomains(domains, now);
  }

  /// Reports all of a step's runs as serving.
  void ReportServing(const std::vector<start_command>& starts) {
    std::map<std::string, worker_report> reports;
    for (const worker_description& worker : workers)
      reports[worker.id];
    for (const start_command& start : starts)
      reports[start.worker].running.push_back(MakeReportedRun(start, 0, 100));
    for (const auto& [worker, report] : reports)
      Report(worker, report);
  }

  static step_request LongRunning(std::int32_t tasks,
                                  std::int64_t processors_milli) {
    step_request step = MakeStep(tasks, processors_milli);
    step.long_running = true;
    step.max_unavailable = 1;
    return step;
  }

  /// An owner whose settings say how fast a drain has to be in force.
  std::unique_ptr<shard_scheduler> MakeBoundedOwner() {
    scheduler_settings bounded;
    bounded.drain_within = std::chrono::milliseconds(5000);
    auto owner =
        std::make_unique<shard_scheduler>(bounded, scheduler_event_hook());
    owner->FinishRestore(now, now, std::chrono::milliseconds(0));
    owner->SetWorkers(workers);
    for (const worker_description& worker : workers)
      ReportTo(*owner, worker.id, {});
    return owner;
  }

  domain_drain DrainOf(const std::string& domain) const {
    for (const domain_drain& drain : scheduler.Drains())
      if (drain.failure_domain == domain)
        return drain;
    return {};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(domain_drain_suite, drain_fixture)

BOOST_AUTO_TEST_CASE(NothingStartsInADrainedDomain) {
  Drain({"north"});
  scheduler.Accept(MakeSubmission("a", MakeStep(8, 8000)));
  const auto starts = RunRound();
  BOOST_TEST(starts.size() == 4u);
  for (const start_command& start : starts)
    BOOST_TEST(!IsNorth(start.worker));
}

BOOST_AUTO_TEST_CASE(AStartThatWasCommittedBeforeTheDrainIsNotSent) {
  scheduler.Accept(MakeSubmission("a", MakeStep(4, 16'000)));
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  Drain({"north"});
  scheduler.OnCommitted(batch->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_TEST(starts.size() == 2u);
  for (const start_command& start : starts)
    BOOST_TEST(!IsNorth(start.worker));
  // What was taken back starts once the drain is over.
  for (const start_command& start : starts)
    scheduler.OnStartOutcome(start, start_outcome::kStarted, now);
  Drain({});
  BOOST_TEST(RunRound().size() == 2u);
}

BOOST_AUTO_TEST_CASE(OverlappingDrainsEndOutOfOrder) {
  Drain({"north"});
  Drain({"north", "south"});
  scheduler.Accept(MakeSubmission("a", MakeStep(2, 8000)));
  BOOST_TEST(RunRound().empty());
  Drain({"south"});
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 2u);
  for (const start_command& start : starts)
    BOOST_TEST(IsNorth(start.worker));
}

BOOST_AUTO_TEST_CASE(ADrainTakenBackAndAskedForAgainHolds) {
  Drain({"north"});
  Drain({});
  Advance(std::chrono::milliseconds(300));
  Drain({"north"});
  scheduler.Accept(MakeSubmission("a", MakeStep(4, 16'000)));
  for (const start_command& start : RunRound())
    BOOST_TEST(!IsNorth(start.worker));
}

BOOST_AUTO_TEST_CASE(ADrainOfADomainWithoutWorkersHoldsForThoseThatComeLater) {
  Drain({"west"});
  scheduler.Accept(MakeSubmission("a", MakeStep(4, 16'000)));
  const auto starts = RunRound();
  BOOST_TEST(starts.size() == 4u);
  BOOST_TEST(DrainOf("west").workers == 0u);
  worker_description later = workers[0];
  later.id = "w-5";
  later.failure_domain = "west";
  workers.push_back(later);
  scheduler.SetWorkers(workers);
  Report("w-5", {});
  scheduler.Accept(MakeSubmission("b", MakeStep(1, 1000)));
  BOOST_TEST(RunRound().empty());
  BOOST_TEST(DrainOf("west").workers == 1u);
}

BOOST_AUTO_TEST_CASE(BoundToADrainedDomainATaskWaitsAndDoesNotFail) {
  step_request step = MakeStep(1, 1000);
  step.required_label = "w-1";
  Drain({"north"});
  scheduler.Accept(MakeSubmission("a", step));
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(RunRound().empty());
    Advance(std::chrono::milliseconds(500));
    for (const worker_description& worker : workers)
      Report(worker.id, {});
  }
  BOOST_TEST(scheduler.UnstartedSubmissions().size() == 1u);
  Drain({});
  BOOST_TEST(RunRound().size() == 1u);
}

BOOST_AUTO_TEST_CASE(ServicesLeaveOneAtATimeAndEndingTasksStay) {
  Drain({"south"});
  scheduler.Accept(MakeSubmission("service", LongRunning(4, 3000)));
  scheduler.Accept(MakeSubmission("ending", MakeStep(2, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 6u);
  ReportServing(starts);
  Drain({"north"});
  Advance(std::chrono::milliseconds(1000));
  RunRound();
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].task.submission == "service");
  Advance(std::chrono::milliseconds(1000));
  RunRound();
  // The first is away until it serves again.
  BOOST_TEST(stops.empty());
  BOOST_TEST(DrainOf("north").moved == 1);
  BOOST_TEST(DrainOf("north").long_running == 4u);
  BOOST_TEST(DrainOf("north").ending == 2u);
}

BOOST_AUTO_TEST_CASE(ServicesStayWhereTheyAreWhileTheNeighboursAreFull) {
  scheduler.Accept(MakeSubmission("service", LongRunning(8, 7000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 8u);
  ReportServing(starts);
  Drain({"north"});
  for (int i = 0; i < 10; ++i) {
    Advance(std::chrono::milliseconds(200));
    ReportServing(starts);
    BOOST_TEST(RunRound().empty());
    BOOST_TEST(stops.empty());
  }
  BOOST_TEST(DrainOf("north").long_running == 4u);
}

BOOST_AUTO_TEST_CASE(ServicesLeaveOnlyWhatTheNeighboursNeedNotKeepFree) {
  // The south has 32 cores, of which a quarter is kept free.
  for (const std::int32_t neighbours : {6, 3}) {
    drain_fixture fixture;
    fixture.Drain({"north"});
    fixture.scheduler.Accept(
        MakeSubmission("south", LongRunning(neighbours, 4000)));
    auto starts = fixture.RunRound();
    fixture.Drain({"south"});
    fixture.scheduler.Accept(MakeSubmission("north", LongRunning(2, 4000)));
    std::ranges::copy(fixture.RunRound(), std::back_inserter(starts));
    BOOST_REQUIRE(starts.size() == static_cast<std::size_t>(neighbours) + 2);
    fixture.ReportServing(starts);
    fixture.Drain({"north"});
    fixture.Advance(std::chrono::milliseconds(500));
    fixture.RunRound();
    BOOST_TEST(fixture.stops.size() == (neighbours == 3 ? 1u : 0u));
  }
}

BOOST_AUTO_TEST_CASE(ADrainTellsSinceWhenTheDomainIsEmpty) {
  Drain({"north"});
  const base::time_point began = now;
  RunRound();
  BOOST_TEST((DrainOf("north").since == began));
  BOOST_TEST(DrainOf("north").empty_since.has_value());
  BOOST_TEST(DrainOf("north").workers == 2u);
}

BOOST_AUTO_TEST_CASE(WhatIsLeftIsToldBeforeTheNextRound) {
  Drain({"south"});
  scheduler.Accept(MakeSubmission("service", LongRunning(2, 3000)));
  BOOST_REQUIRE(RunRound().size() == 2u);
  Drain({"north", "south"});
  BOOST_TEST(DrainOf("north").workers == 2u);
  BOOST_TEST(DrainOf("north").long_running == 2u);
  BOOST_TEST(!DrainOf("north").empty_since.has_value());
  BOOST_TEST(DrainOf("south").workers == 2u);
  BOOST_TEST(DrainOf("south").empty_since.has_value());
}

BOOST_AUTO_TEST_CASE(DrainedWorkersAreNoRoom) {
  Drain({"north"});
  BOOST_TEST(scheduler.Load().capacity.processors_milli == 32'000);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatFollowsKnowsTheDrainBeforeItsFirstRound) {
  const submission accepted = MakeSubmission("a", MakeStep(4, 16'000));
  scheduler.Accept(accepted);
  const auto starts = RunRound();
  shard_scheduler next{settings, {}};
  next.Accept(accepted);
  next.Restore(scheduler.Snapshot());
  next.FinishRestore(now, now, std::chrono::milliseconds(1000));
  next.SetDrainedDomains({"north"}, now);
  next.SetWorkers(workers);
  // The runs of the owner before are gone.
  for (const worker_description& worker : workers)
    ReportTo(next, worker.id, {});
  Advance(std::chrono::milliseconds(9000));
  for (const worker_description& worker : workers)
    ReportTo(next, worker.id, {});
  for (const start_command& start : RunRoundOn(next))
    BOOST_TEST(!IsNorth(start.worker));
}

BOOST_AUTO_TEST_CASE(WithoutRecentKnowledgeOfDrainsNothingStarts) {
  const auto bounded = MakeBoundedOwner();
  shard_scheduler& owner = *bounded;
  owner.Accept(MakeSubmission("a", MakeStep(1, 1000)));
  BOOST_TEST(RunRoundOn(owner).empty());
  owner.ConfirmDrains(now);
  BOOST_TEST(RunRoundOn(owner).size() == 1u);
}

BOOST_AUTO_TEST_CASE(AStartHeldBackInAnOutageIsCheckedAgainAfterIt) {
  const auto bounded = MakeBoundedOwner();
  shard_scheduler& owner = *bounded;
  owner.ConfirmDrains(now);
  owner.Accept(MakeSubmission("a", MakeStep(4, 16'000)));
  owner.Plan(now, since_epoch);
  const auto batch = owner.TakeBatch();
  // The answer to the commit comes late, and the watch has hung meanwhile.
  Advance(std::chrono::milliseconds(3200));
  owner.OnCommitted(batch->number);
  BOOST_TEST(owner.TakeCommands(now).starts.empty());
  owner.SetDrainedDomains({"north"}, now);
  owner.ConfirmDrains(now);
  for (const worker_description& worker : workers)
    ReportTo(owner, worker.id, {});
  const auto starts = owner.TakeCommands(now).starts;
  BOOST_TEST(starts.size() == 2u);
  for (const start_command& start : starts)
    BOOST_TEST(!IsNorth(start.worker));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
