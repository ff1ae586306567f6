#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

constexpr std::size_t kWorkers = 490;
constexpr std::int32_t kTasksOfStep = 20;

/// A shard of the largest deployment's size.
struct large_shard : scheduler_fixture {
  large_shard() {
    workers.resize(kWorkers, workers[0]);
    for (std::size_t i = 0; i < kWorkers; ++i)
      workers[i].id = "w-" + std::to_string(i);
    scheduler.SetWorkers(workers);
    for (const worker_description& worker : workers)
      Report(worker.id, {});
  }

  /// Workers that the next round weighs.
  std::uint64_t CostOfRound() {
    const std::uint64_t before = scheduler.ScoredWorkers();
    started = Round().size();
    return scheduler.ScoredWorkers() - before;
  }

  std::size_t started = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placing_cost, large_shard)

BOOST_AUTO_TEST_CASE(AStepCostsOneLookAtEachWorkerAndAFewMore) {
  scheduler.Accept(Request("a", Step(kTasksOfStep, 3000)));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == static_cast<std::size_t>(kTasksOfStep));
  // Each worker once, and a few times what comes to the top.
  BOOST_TEST(cost <= kWorkers + 8 * kTasksOfStep);
}

BOOST_AUTO_TEST_CASE(AQueueThatWaitsForRoomCostsNoMoreThanOneStep) {
  // One task fills a worker.
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep + 1; ++i)
    scheduler.Accept(
        Request("first-" + std::to_string(i), Step(kTasksOfStep, 16'000)));
  CostOfRound();
  BOOST_TEST(started == kWorkers);
  for (int i = 0; i < 300; ++i)
    scheduler.Accept(
        Request("next-" + std::to_string(i), Step(kTasksOfStep, 3000)));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == 0u);
  // The rest of the first queue, and the next one: two shapes.
  BOOST_TEST(cost <= 2 * kWorkers);
}

BOOST_AUTO_TEST_CASE(AQueueOfGrowingDemandsCostsNoMoreThanTheSmallest) {
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep + 1; ++i)
    scheduler.Accept(
        Request("a-" + std::to_string(i), Step(kTasksOfStep, 15'000)));
  CostOfRound();
  BOOST_TEST(started == kWorkers);
  // Each asks for a little more than the one before it, and none fits.
  for (int i = 0; i < 300; ++i)
    scheduler.Accept(
        Request("b-" + std::to_string(1000 + i), Step(kTasksOfStep, 2000 + i)));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == 0u);
  BOOST_TEST(cost <= 2 * kWorkers);
}

BOOST_AUTO_TEST_CASE(
    AServiceThatWaitsForWholeRoomIsWeighedOnceForAllOfItsKind) {
  step_request service = Step(kTasksOfStep, 16'000);
  service.long_running = true;
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep; ++i)
    scheduler.Accept(Request("running-" + std::to_string(i), service));
  CostOfRound();
  for (int i = 0; i < 40; ++i)
    scheduler.Accept(Request("waiting-" + std::to_string(i), service));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == 0u);
  BOOST_TEST(cost <= kWorkers + 8 * kTasksOfStep);
}

BOOST_AUTO_TEST_CASE(ATaskThatFailedIsWeighedForItself) {
  // Full workers for one shape don't hide that a repeated task of it may not
  // go where it failed.
  scheduler.Accept(Request("a", Step(1, 3000)));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 1u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_outcome::kFailed, ""}};
  Report(starts[0].worker, report);
  const auto again = Round();
  BOOST_REQUIRE(again.size() == 1u);
  BOOST_TEST(again[0].worker != starts[0].worker);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
