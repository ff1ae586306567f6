#include <map>

#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

constexpr std::size_t kWorkers = 490;
constexpr std::int32_t kTasksOfStep = 20;
constexpr std::size_t kLapsedSteps = 20;

/// A shard as large as in the largest deployment.
struct large_shard : scheduler_fixture {
  large_shard() {
    workers.resize(kWorkers, workers[0]);
    for (std::size_t i = 0; i < kWorkers; ++i)
      workers[i].id = "w-" + std::to_string(i);
    scheduler.SetWorkers(workers);
    for (const worker_description& worker : workers)
      Report(worker.id, {});
  }

  /// Number of times that the next round scores a worker.
  std::uint64_t CostOfRound() {
    const std::uint64_t before = scheduler.ScoredWorkers();
    started = RunRound().size();
    return scheduler.ScoredWorkers() - before;
  }

  /// All runs that `starts` began end because their leases expired.
  void LapseAll(const std::vector<start_command>& starts) {
    std::map<std::string, worker_report> reports;
    for (const start_command& start : starts) {
      worker_report& report = reports[start.worker];
      const auto number = static_cast<std::int64_t>(report.ended.size()) + 1;
      report.ended.push_back(
          {number, start.task, start.run, run_outcome::kLeaseExpired, ""});
    }
    for (const auto& [worker, report] : reports)
      Report(worker, report);
  }

  std::size_t started = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placement_cost, large_shard)

BOOST_AUTO_TEST_CASE(PlacingAStepScoresEachWorkerAboutOnce) {
  scheduler.Accept(MakeSubmission("a", MakeStep(kTasksOfStep, 3000)));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == static_cast<std::size_t>(kTasksOfStep));
  // Each worker once, plus a few that reach the top of the queue again.
  BOOST_TEST(cost <= kWorkers + 8 * kTasksOfStep);
}

BOOST_AUTO_TEST_CASE(WaitingStepsOfOneShapeAreScoredOnce) {
  // One task occupies a whole worker.
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep + 1; ++i)
    scheduler.Accept(MakeSubmission("first-" + std::to_string(i),
                                    MakeStep(kTasksOfStep, 16'000)));
  CostOfRound();
  BOOST_TEST(started == kWorkers);
  for (int i = 0; i < 300; ++i)
    scheduler.Accept(MakeSubmission("next-" + std::to_string(i),
                                    MakeStep(kTasksOfStep, 3000)));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == 0u);
  // The rest of the first submissions and the next ones: two shapes.
  BOOST_TEST(cost <= 2 * kWorkers);
}

BOOST_AUTO_TEST_CASE(LargerDemandsAreNotScoredAfterASmallerOneFailed) {
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep + 1; ++i)
    scheduler.Accept(MakeSubmission("a-" + std::to_string(i),
                                    MakeStep(kTasksOfStep, 15'000)));
  CostOfRound();
  BOOST_TEST(started == kWorkers);
  // Each asks for slightly more than the one before it, and none fits.
  for (int i = 0; i < 300; ++i)
    scheduler.Accept(MakeSubmission("b-" + std::to_string(1000 + i),
                                    MakeStep(kTasksOfStep, 2000 + i)));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == 0u);
  BOOST_TEST(cost <= 2 * kWorkers);
}

BOOST_AUTO_TEST_CASE(WaitingLongRunningStepsOfOneShapeAreScoredOnce) {
  step_request service = MakeStep(kTasksOfStep, 16'000);
  service.long_running = true;
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep; ++i)
    scheduler.Accept(MakeSubmission("running-" + std::to_string(i), service));
  CostOfRound();
  for (int i = 0; i < 40; ++i)
    scheduler.Accept(MakeSubmission("waiting-" + std::to_string(i), service));
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == 0u);
  BOOST_TEST(cost <= kWorkers + 8 * kTasksOfStep);
}

BOOST_AUTO_TEST_CASE(LapsedTasksOfAStepAreScoredTogether) {
  for (std::size_t i = 0; i < kLapsedSteps; ++i)
    scheduler.Accept(
        MakeSubmission("a-" + std::to_string(i), MakeStep(kTasksOfStep, 3000)));
  LapseAll(RunRound());
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == kLapsedSteps * kTasksOfStep);
  BOOST_TEST(cost <= kLapsedSteps * (kWorkers + 8 * kTasksOfStep));
}

BOOST_AUTO_TEST_CASE(LapsedTasksWithoutCapacityAreScoredOnce) {
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep; ++i)
    scheduler.Accept(MakeSubmission("b-" + std::to_string(i),
                                    MakeStep(kTasksOfStep, 16'000)));
  LapseAll(RunRound());
  // More urgent work takes all workers.
  for (std::size_t i = 0; i < kWorkers / kTasksOfStep + 1; ++i) {
    submission urgent = MakeSubmission("a-" + std::to_string(i),
                                       MakeStep(kTasksOfStep, 16'000));
    urgent.policy.priority = -1;
    scheduler.Accept(urgent);
  }
  const std::uint64_t cost = CostOfRound();
  BOOST_TEST(started == kWorkers);
  const std::size_t steps = kWorkers / kTasksOfStep + 1;
  BOOST_TEST(cost <= (steps + 2) * (kWorkers + 8 * kTasksOfStep));
}

BOOST_AUTO_TEST_CASE(RetriedTaskIsScoredIndividually) {
  // A cached result for one shape must not hide that a retried task of that
  // shape should avoid the worker on which it failed.
  scheduler.Accept(MakeSubmission("a", MakeStep(1, 3000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_outcome::kFailed, ""}};
  Report(starts[0].worker, report);
  const auto retried = RunRound();
  BOOST_REQUIRE(retried.size() == 1u);
  BOOST_TEST(retried[0].worker != starts[0].worker);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
