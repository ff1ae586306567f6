#include "chivecrank/shards/shard_runner.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/platform/memory_store.h"

namespace chivecrank::shards {
namespace {

/// Workers that remember every start, so a double run shows.
class fake_agents final : public workers::agent {
 public:
  base::result<void> Start(const settings::endpoint& /*worker*/,
                           const workers::start_command& command) override {
    ++starts;
    known.attempts.push_back(
        {command.attempt, workers::attempt_state::kRunning});
    return base::Success();
  }
  base::result<void> Stop(const settings::endpoint& /*worker*/,
                          const workers::stop_command& command) override {
    SetState(command.attempt, workers::attempt_state::kStopped);
    return base::Success();
  }
  base::result<workers::inventory> Sync(
      const settings::endpoint& /*worker*/,
      const workers::sync_command& command) override {
    if (unreachable)
      return base::error{base::error_kind::kUnavailable, "cut off", "wait"};
    for (const workers::attempt_id& ended : command.acknowledged) {
      std::erase_if(known.attempts, [&](const auto& report) {
        return report.attempt == ended;
      });
    }
    return known;
  }

  void SetState(const workers::attempt_id& attempt,
                workers::attempt_state state) {
    for (workers::attempt_report& report : known.attempts) {
      if (report.attempt == attempt)
        report.state = state;
    }
  }

  workers::inventory known;
  int starts = 0;
  bool unreachable = false;
};

struct fixture {
  base::manual_clock clock;
  platform::memory_store store{clock};
  fake_agents agents;
  shard_settings settings;
  bool holds = true;
  shard_runner runner = Runner(1);
  std::vector<platform::instance> workers = {Worker()};

  shard_runner Runner(std::uint64_t epoch) {
    return {"s",
            epoch,
            settings,
            clock,
            store,
            agents,
            "run-" + std::to_string(epoch),
            [this] { return holds; }};
  }

  static platform::instance Worker() {
    platform::instance worker;
    worker.id = "w-1";
    worker.capacity = {4000, 8000, 0};
    worker.agent = {"127.0.0.1", 1};
    return worker;
  }

  static scheduling::task_request Request() {
    scheduling::task_request request;
    request.id = "s:1";
    request.demand = {1000, 1000, 0};
    return request;
  }

  scheduling::task_state State(shard_runner& of) {
    return of.Find("s:1").value().state;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_runner_suite, fixture)

BOOST_AUTO_TEST_CASE(TaskRunsOnceAndFinishes) {
  BOOST_REQUIRE(runner.Open().has_value());
  BOOST_REQUIRE(runner.Submit(Request()).has_value());
  BOOST_REQUIRE(runner.Submit(Request()).has_value());
  BOOST_REQUIRE(runner.RunRound(workers).has_value());
  BOOST_REQUIRE(runner.RunRound(workers).has_value());
  BOOST_TEST(agents.starts == 1);
  agents.SetState({"s:1", 1}, workers::attempt_state::kDone);
  BOOST_REQUIRE(runner.RunRound(workers).has_value());
  BOOST_TEST((State(runner) == scheduling::task_state::kDone));
}

BOOST_AUTO_TEST_CASE(TakeoverWaitsForTheWorkersAnswer) {
  BOOST_REQUIRE(runner.Open().has_value());
  BOOST_REQUIRE(runner.Submit(Request()).has_value());
  BOOST_REQUIRE(runner.RunRound(workers).has_value());
  shard_runner next = Runner(2);
  BOOST_REQUIRE(next.Open().has_value());
  agents.unreachable = true;
  BOOST_REQUIRE(next.RunRound(workers).has_value());
  clock.Advance(settings.task_lease);
  BOOST_REQUIRE(next.RunRound(workers).has_value());
  BOOST_TEST((State(next) == scheduling::task_state::kStarting));
  clock.Advance(settings.clock_margin + std::chrono::milliseconds(1));
  BOOST_REQUIRE(next.RunRound(workers).has_value());
  BOOST_TEST((State(next) == scheduling::task_state::kPending));
  BOOST_TEST(agents.starts == 1);
}

BOOST_AUTO_TEST_CASE(CancelSurvivesATakeover) {
  BOOST_REQUIRE(runner.Open().has_value());
  BOOST_REQUIRE(runner.Submit(Request()).has_value());
  BOOST_REQUIRE(runner.RunRound(workers).has_value());
  BOOST_REQUIRE(runner.Cancel("s:1").has_value());
  shard_runner next = Runner(2);
  BOOST_REQUIRE(next.Open().has_value());
  BOOST_REQUIRE(next.RunRound(workers).has_value());
  BOOST_REQUIRE(next.RunRound(workers).has_value());
  BOOST_TEST((State(next) == scheduling::task_state::kCancelled));
  BOOST_TEST(agents.starts == 1);
}

BOOST_AUTO_TEST_CASE(NothingIsStartedAfterTheLease) {
  BOOST_REQUIRE(runner.Open().has_value());
  BOOST_REQUIRE(runner.Submit(Request()).has_value());
  holds = false;
  BOOST_TEST(!runner.RunRound(workers).has_value());
  BOOST_TEST(agents.starts == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
