#include "chivecrank/shards/shard_runner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <utility>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/protocol/worker_fence.h"
#include "tests/faulty_store.h"

namespace chivecrank::shards {
namespace {

/// A worker that follows the fencing rules and counts every start, so that a
/// task that is started twice is detected.
class fake_agents final : public workers::agent {
 public:
  explicit fake_agents(base::clock& clock) : clock_(clock) {}

  base::result<workers::sync_report> Sync(
      const settings::endpoint& /*worker*/,
      const workers::sync_command& command) override {
    ++calls;
    if (unreachable)
      return base::error{base::error_kind::kUnavailable, "cut off", "wait"};
    return Deliver(command);
  }

  /// Processes a command; also used for commands delayed in the network.
  base::result<workers::sync_report> Deliver(
      const workers::sync_command& command) {
    last_command = command;
    StopExpired();
    const auto outcome =
        fence.OnSync(command.order, clock_.Now(), command.term);
    if (outcome == protocol::sync_outcome::kFenced)
      return base::error{base::error_kind::kFenced, "newer epoch", "stop"};
    if (outcome == protocol::sync_outcome::kStale)
      return base::error{base::error_kind::kConflict, "late", "go on"};
    for (const workers::attempt_id& ended : command.acknowledged)
      std::erase_if(known, [&](const auto& r) { return r.attempt == ended; });
    for (const workers::stop_command& stop : command.stops)
      SetState(
          stop.attempt, workers::attempt_state::kStopped,
          stop.save ? checkpointed_by_stops : std::chrono::milliseconds(0));
    if (outcome == protocol::sync_outcome::kRenewed) {
      for (const workers::start_command& start : command.starts)
        Start(start);
    }
    return workers::sync_report{fence.incarnation(), true, 1, known};
  }

  void SetState(const workers::attempt_id& attempt,
                workers::attempt_state state,
                std::chrono::milliseconds saved = {}) {
    for (workers::attempt_report& report : known) {
      if (report.attempt == attempt &&
          report.state == workers::attempt_state::kRunning) {
        report.state = state;
        report.saved = saved;
      }
    }
  }

  int Running() {
    StopExpired();
    return static_cast<int>(
        std::count_if(known.begin(), known.end(), [](const auto& report) {
          return report.state == workers::attempt_state::kRunning;
        }));
  }

  protocol::worker_fence fence{"boot"};
  std::vector<workers::attempt_report> known;
  std::vector<workers::start_command> started;
  workers::sync_command last_command;
  std::chrono::milliseconds checkpointed_by_stops{0};
  int calls = 0;
  int starts = 0;
  bool unreachable = false;

 private:
  void Start(const workers::start_command& start) {
    for (const workers::attempt_report& report : known) {
      if (report.attempt == start.attempt)
        return;
    }
    ++starts;
    started.push_back(start);
    known.push_back({start.attempt, workers::attempt_state::kRunning, {}});
  }

  void StopExpired() {
    if (!fence.IsLeaseExpired(clock_.Now()))
      return;
    for (workers::attempt_report& report : known) {
      if (report.state == workers::attempt_state::kRunning)
        report.state = workers::attempt_state::kStopped;
    }
  }

  base::clock& clock_;
};

void RunInline(const std::function<void()>& job) {
  job();
}

struct fixture {
  base::manual_clock clock;
  coordination::memory_store store{clock};
  fake_agents agents{clock};
  shard_settings settings;
  std::shared_ptr<protocol::ownership_lease> ownership_lease =
      std::make_shared<protocol::ownership_lease>(settings.outage_grace);
  std::vector<coordination::instance> workers = {Worker()};
  std::unique_ptr<shard_runner> runner = Runner(1);

  fixture() { ownership_lease->Extend(clock.Now() + std::chrono::hours(1)); }

  std::unique_ptr<shard_runner> Runner(std::uint64_t epoch) {
    return std::make_unique<shard_runner>(
        "s", epoch, settings, clock, store, agents,
        "run-" + std::to_string(epoch), ownership_lease,
        executors{RunInline, RunInline, RunInline});
  }

  /// Runs enough rounds for a sync, a plan and a start.
  void RunRounds(shard_runner& of) {
    for (int i = 0; i < 3; ++i) {
      BOOST_REQUIRE(of.RunRound(workers).has_value());
      clock.Advance(settings.sync_interval);
    }
  }

  static coordination::instance Worker() {
    coordination::instance worker;
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
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  RunRounds(*runner);
  BOOST_TEST(agents.starts == 1);
  BOOST_TEST((State(*runner) == scheduling::task_state::kRunning));
  agents.SetState({"s:1", 1}, workers::attempt_state::kDone);
  RunRounds(*runner);
  BOOST_TEST((State(*runner) == scheduling::task_state::kDone));
  BOOST_TEST(agents.known.empty());
}

BOOST_AUTO_TEST_CASE(NewOwnerReschedulesTaskOnlyAfterUnreachableWorkersLease) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  const auto next = Runner(2);
  BOOST_REQUIRE(next->Open().has_value());
  agents.unreachable = true;
  BOOST_REQUIRE(next->RunRound(workers).has_value());
  clock.Advance(settings.outage_grace + settings.task_lease_term);
  BOOST_REQUIRE(next->RunRound(workers).has_value());
  BOOST_TEST((State(*next) != scheduling::task_state::kPending));
  clock.Advance(settings.clock_margin + std::chrono::milliseconds(1));
  BOOST_REQUIRE(next->RunRound(workers).has_value());
  BOOST_TEST((State(*next) == scheduling::task_state::kPending));
  BOOST_TEST(agents.starts == 1);
}

BOOST_AUTO_TEST_CASE(AttemptOnUnresponsiveWorkerIsLostOnlyAfterItsLease) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  agents.unreachable = true;
  while (agents.Running() == 1) {
    BOOST_REQUIRE(runner->RunRound(workers).has_value());
    BOOST_TEST((State(*runner) == scheduling::task_state::kRunning));
    clock.Advance(settings.round_interval);
  }
  clock.Advance(settings.clock_margin + settings.sync_interval +
                settings.round_interval);
  BOOST_REQUIRE(runner->RunRound(workers).has_value());
  BOOST_TEST((State(*runner) == scheduling::task_state::kPending));
}

BOOST_AUTO_TEST_CASE(StartDelayedInNetworkIsRejected) {
  BOOST_REQUIRE(runner->Open().has_value());
  RunRounds(*runner);
  // The sync is lost at first and arrives after all others.
  agents.unreachable = true;
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  BOOST_REQUIRE(runner->RunRound(workers).has_value());
  workers::sync_command late = agents.last_command;
  late.order.number += 1;
  late.starts = {{{"s:1", 1}, "t", {}, {}, {}}};
  agents.unreachable = false;
  RunRounds(*runner);
  const int starts = agents.starts;
  BOOST_TEST(!agents.Deliver(late).has_value());
  BOOST_TEST(agents.starts == starts);
}

BOOST_AUTO_TEST_CASE(StartWaitingForJournalIsNotTreatedAsLost) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  // Journal writes wait until the test runs them, while syncs continue.
  std::vector<std::function<void()>> writes;
  shard_runner slow(
      "s", 2, settings, clock, store, agents, "run", ownership_lease,
      {RunInline, RunInline,
       [&](std::function<void()> job) { writes.push_back(std::move(job)); }});
  BOOST_REQUIRE(slow.Open().has_value());
  RunRounds(slow);
  RunRounds(slow);
  BOOST_TEST(agents.starts == 0);
  for (const auto& write : std::exchange(writes, {}))
    write();
  RunRounds(slow);
  BOOST_TEST(agents.starts == 1);
  BOOST_TEST(agents.started.at(0).attempt.attempt == 1);
  for (const auto& write : std::exchange(writes, {}))
    write();
}

BOOST_AUTO_TEST_CASE(FailedWriteIsRetriedOnlyAfterRoundInterval) {
  std::mt19937_64 random(1);
  faulty_store failing(store, random);
  shard_runner owner("s", 1, settings, clock, failing, agents, "run",
                     ownership_lease, {RunInline, RunInline, RunInline});
  BOOST_REQUIRE(owner.Open().has_value());
  failing.SetFaults({1.0, 0, 0});
  const int before = failing.puts();
  BOOST_TEST(!owner.Submit(Request()).has_value());
  BOOST_REQUIRE(owner.RunRound(workers).has_value());
  BOOST_TEST(failing.puts() == before + 1);
  failing.SetFaults({});
  clock.Advance(settings.round_interval);
  BOOST_REQUIRE(owner.RunRound(workers).has_value());
  BOOST_TEST((State(owner) == scheduling::task_state::kPending));
}

BOOST_AUTO_TEST_CASE(CancellationSurvivesTakeover) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  BOOST_REQUIRE(runner->Cancel("s:1").has_value());
  const auto next = Runner(2);
  BOOST_REQUIRE(next->Open().has_value());
  RunRounds(*next);
  RunRounds(*next);
  BOOST_TEST((State(*next) == scheduling::task_state::kCancelled));
  BOOST_TEST(agents.starts == 1);
  BOOST_TEST(agents.Running() == 0);
}

BOOST_AUTO_TEST_CASE(CloseRenewsWorkerLeasesForNextOwner) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  RunRounds(*runner);
  clock.Advance(settings.sync_interval / 2);
  runner->Close();
  // The next owner may need nearly the full lease term to reach the worker.
  clock.Advance(settings.task_lease_term - std::chrono::milliseconds(1));
  BOOST_TEST(agents.Running() == 1);
}

BOOST_AUTO_TEST_CASE(CloseDoesNotCallUnresponsiveWorkers) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  agents.unreachable = true;
  RunRounds(*runner);
  const int calls = agents.calls;
  runner->Close();
  BOOST_TEST(agents.calls == calls);
}

BOOST_AUTO_TEST_CASE(StartsNothingAfterOwnershipLeaseEnds) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  ownership_lease->Release();
  BOOST_TEST(!runner->RunRound(workers).has_value());
  BOOST_TEST(agents.starts == 0);
}

BOOST_AUTO_TEST_CASE(OwnerWithExpiredLeaseRenewsWorkersButRejectsSubmissions) {
  BOOST_REQUIRE(runner->Open().has_value());
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  RunRounds(*runner);
  ownership_lease->MarkExpired();
  ownership_lease->Extend(clock.Now());
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(runner->RunRound(workers).has_value());
    clock.Advance(settings.sync_interval);
  }
  BOOST_TEST(agents.Running() == 1);
  BOOST_TEST(!runner->Submit(Request()).has_value());
  clock.Advance(settings.outage_grace);
  BOOST_TEST(!runner->RunRound(workers).has_value());
}

BOOST_AUTO_TEST_CASE(UrgentTaskPreemptsBatchTaskWhichResumesFromCheckpoint) {
  BOOST_REQUIRE(runner->Open().has_value());
  scheduling::task_request batch = Request();
  batch.demand = Worker().capacity;
  batch.checkpoints = true;
  BOOST_REQUIRE(runner->Submit(batch).has_value());
  RunRounds(*runner);
  agents.checkpointed_by_stops = std::chrono::milliseconds(700);
  scheduling::task_request urgent = Request();
  urgent.id = "s:2";
  urgent.urgent = true;
  BOOST_REQUIRE(runner->Submit(urgent).has_value());
  RunRounds(*runner);
  BOOST_TEST((State(*runner) == scheduling::task_state::kEvicted));
  BOOST_TEST(
      (runner->Find("s:2").value().state == scheduling::task_state::kRunning));
  agents.SetState({"s:2", 1}, workers::attempt_state::kDone);
  RunRounds(*runner);
  BOOST_TEST((State(*runner) == scheduling::task_state::kRunning));
  BOOST_TEST(agents.starts == 3);
  BOOST_TEST((agents.started.back().saved == agents.checkpointed_by_stops));
}

BOOST_AUTO_TEST_CASE(TaskCancelledBeforeItsStartArrivesFreesItsWorker) {
  BOOST_REQUIRE(runner->Open().has_value());
  RunRounds(*runner);
  BOOST_REQUIRE(runner->RunRound(workers).has_value());
  agents.unreachable = true;
  BOOST_REQUIRE(runner->Submit(Request()).has_value());
  BOOST_REQUIRE(runner->RunRound(workers).has_value());
  BOOST_REQUIRE((State(*runner) == scheduling::task_state::kStarting));
  BOOST_REQUIRE(runner->Cancel("s:1").has_value());
  agents.unreachable = false;
  RunRounds(*runner);
  RunRounds(*runner);
  BOOST_TEST(agents.starts == 0);
  BOOST_TEST(runner->Find("s:1").value().worker_id.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
