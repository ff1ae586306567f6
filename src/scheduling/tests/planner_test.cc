#include "chivecrank/scheduling/planner.h"

#include <random>

#include "chivecrank/scheduling/resources.h"
#include "tests/planner_fixture.h"

namespace chivecrank::scheduling {

namespace {

constexpr int kSeeds = 20;
constexpr int kRounds = 200;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(planner_suite, planner_fixture)

BOOST_AUTO_TEST_CASE(CapacityStaysCommittedUntilTheStopIsConfirmed) {
  Accept(Request("a", 4000));
  Accept(Request("b", 4000));
  Round();
  Record(task_cancelled{"a"});
  Accept(Request("c", 4000));
  BOOST_TEST(Round().empty());
  End("a", attempt_outcome::kStopped);
  BOOST_TEST(Round().size() == 1);
  BOOST_TEST((State("c") == task_state::kRunning));
}

BOOST_AUTO_TEST_CASE(UrgentTaskPreemptsTheBatchAttemptThatLosesLeast) {
  Accept(Request("old", 4000));
  Round();
  Pass(std::chrono::seconds(200));
  Accept(Request("young", 4000));
  Round();
  task_request urgent = Request("urgent", 1000);
  urgent.urgent = true;
  Accept(urgent);
  const auto events = Round();
  BOOST_REQUIRE(events.size() == 1);
  BOOST_TEST(std::get<checkpoint_ordered>(events[0]).task_id == "young");
  BOOST_TEST(Round().empty());
  // The freed capacity is reserved for the urgent task.
  End("young", attempt_outcome::kStopped, std::chrono::seconds(1));
  Round();
  BOOST_TEST((State("urgent") == task_state::kRunning));
  BOOST_TEST((State("young") == task_state::kEvicted));
}

BOOST_AUTO_TEST_CASE(GangStartsTogetherAndRestartsAsAWhole) {
  for (const char* id : {"a", "b", "c"}) {
    task_request request = Request(id, 2000);
    request.gang = "gang";
    request.gang_size = 3;
    Accept(request);
    if (std::string(id) != "c")
      BOOST_TEST(Round().empty());
  }
  Accept(Request("filler", 3000));
  BOOST_TEST(Round().size() == 3);
  BOOST_TEST((State("filler") == task_state::kPending));
  End("a", attempt_outcome::kLost);
  const auto stops = Round();
  // The remaining members stop, and the gang restarts as a whole.
  BOOST_TEST((State("b") == task_state::kCheckpointing));
  BOOST_TEST((State("c") == task_state::kCheckpointing));
  BOOST_TEST((State("a") == task_state::kPending));
}

BOOST_AUTO_TEST_CASE(TeamQuotaLimitsStarts) {
  hooks.quota_of = [](const std::string& team) {
    return team == "team"
               ? std::optional(coordination::resources{2000, 8000, 0})
               : std::nullopt;
  };
  for (const char* id : {"a", "b", "c"})
    Accept(Request(id, 1000));
  task_request other = Request("other", 1000);
  other.team = "other";
  Accept(other);
  BOOST_TEST(Round().size() == 3);
  BOOST_TEST((State("c") == task_state::kPending));
  BOOST_TEST((State("other") == task_state::kRunning));
}

BOOST_AUTO_TEST_CASE(TeamsShareByDominantResource) {
  for (int task = 0; task < 8; ++task) {
    task_request request = Request("a" + std::to_string(task), 1000);
    Accept(request);
    request = Request("b" + std::to_string(task), 100);
    request.team = "memory";
    request.account = "memory";
    request.demand.memory_mib = 2000;
    Accept(request);
  }
  Round();
  const auto processors = state.CommittedOn("w-1").processors_milli +
                          state.CommittedOn("w-2").processors_milli;
  const auto memory =
      state.CommittedOn("w-1").memory_mib + state.CommittedOn("w-2").memory_mib;
  BOOST_TEST(processors >= 6000);
  BOOST_TEST(memory >= 12'000);
}

BOOST_AUTO_TEST_CASE(ReplicasSpreadOverFailureDomains) {
  workers.push_back({"w-3", {4000, 8000, 0}, "r-1", "d-1"});
  AcceptService("s-1");
  AcceptService("s-2");
  Round();
  const bool on_other_domain =
      (WorkerOf("s-1") == "w-2") != (WorkerOf("s-2") == "w-2");
  BOOST_TEST(on_other_domain);
}

BOOST_AUTO_TEST_CASE(WorkThatWouldMissItsDueTimeStartsFirst) {
  Accept(Request("first", 4000));
  Accept(Request("second", 4000));
  task_request due = Request("z-due", 4000);
  due.template_name = "nightly";
  due.due = now + std::chrono::minutes(6);
  Accept(due);
  Round();
  BOOST_TEST((State("z-due") == task_state::kRunning));
}

BOOST_AUTO_TEST_CASE(LargeTaskStartsDespiteASteadyStreamOfSmallTasks) {
  for (int task = 0; task < 8; ++task)
    Accept(Request("a" + std::to_string(task), 1000));
  Round();
  task_request large = Request("large", 4000);
  large.template_name = "large";
  Accept(large);
  for (int round = 0; round < 12; ++round) {
    Accept(Request("b" + std::to_string(round), 1000));
    Pass(std::chrono::seconds(60));
    const std::string oldest = round < 8 ? "a" + std::to_string(round)
                                         : "b" + std::to_string(round - 8);
    if (!WorkerOf(oldest).empty())
      End(oldest, attempt_outcome::kDone);
    Round();
  }
  BOOST_TEST((State("large") == task_state::kRunning));
}

BOOST_AUTO_TEST_CASE(WorkerWithCrashesOfSeveralTasksIsQuarantinedAndRetried) {
  workers[1].capacity = {1000, 8000, 0};
  for (const char* id : {"a", "b", "c"}) {
    Accept(Request(id, 1000));
    Record(attempt_started{id, 1, "w-1"});
    End(id, attempt_outcome::kCrashed);
  }
  Pass(std::chrono::seconds(10));
  Round();
  BOOST_TEST(state.OpenTasksOn("w-1").empty());
  BOOST_TEST(state.OpenTasksOn("w-2").size() == 1);
  Pass(settings.health.initial_quarantine);
  Round();
  // After the quarantine a single task is placed on the worker.
  BOOST_REQUIRE(state.OpenTasksOn("w-1").size() == 1);
  End(*state.OpenTasksOn("w-1").begin(), attempt_outcome::kDone);
  Accept(Request("d", 1000));
  Accept(Request("e", 1000));
  Round();
  BOOST_TEST(state.OpenTasksOn("w-1").size() >= 2);
}

BOOST_AUTO_TEST_CASE(TaskThatCrashesOnSeveralWorkersIsParkedWithTheReason) {
  workers.push_back({"w-3", {4000, 8000, 0}, "r-3", "d-1"});
  Accept(Request("bad", 1000));
  for (int attempt = 0; attempt < 3; ++attempt) {
    Round();
    BOOST_REQUIRE((State("bad") == task_state::kRunning));
    End("bad", attempt_outcome::kCrashed);
    BOOST_TEST(Round().empty());
    Pass(settings.max_backoff);
  }
  Round();
  BOOST_TEST((State("bad") == task_state::kParked));
  BOOST_TEST(state.Find("bad")->failed_worker_ids.size() == 3);
  BOOST_TEST(state.Find("bad")->parked_reason.find("3 healthy workers") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(OutOfMemoryTaskGetsMoreMemoryAndCountsNoFailure) {
  Accept(Request("a", 1000));
  Round();
  Planner().Observe(usage_sample{"batch", {1000, 100, 0}, false, true});
  End("a", attempt_outcome::kOutOfMemory);
  Round();
  BOOST_TEST((State("a") == task_state::kRunning));
  BOOST_TEST(state.Find("a")->granted.memory_mib == 160);
  BOOST_TEST(state.Find("a")->failures == 0);
}

BOOST_AUTO_TEST_CASE(RandomEventsNeverOvercommitAWorker) {
  for (int seed = 0; seed < kSeeds; ++seed) {
    planner_fixture run;
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto below = [&random](std::uint64_t limit) {
      return static_cast<std::int64_t>(random() % limit);
    };
    for (int round = 0; round < kRounds; ++round) {
      task_request request =
          Request("t" + std::to_string(round), 200 + below(4000));
      request.urgent = below(5) == 0;
      run.Accept(request);
      run.Round();
      run.Pass(std::chrono::seconds(below(30)));
      const std::string chosen = "t" + std::to_string(below(round + 1));
      if (!run.WorkerOf(chosen).empty()) {
        constexpr attempt_outcome outcomes[] = {
            attempt_outcome::kDone, attempt_outcome::kLost,
            attempt_outcome::kStopped, attempt_outcome::kCrashed};
        run.End(chosen, outcomes[below(4)], std::chrono::seconds(below(3)));
      } else if (!IsFinal(run.State(chosen)) && below(4) == 0) {
        run.Record(task_cancelled{chosen});
      }
      for (const worker_view& worker : run.workers) {
        BOOST_REQUIRE(
            IsWithin(run.state.CommittedOn(worker.id), worker.capacity));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
