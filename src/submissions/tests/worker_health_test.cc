#include "internal/worker_health.h"

#include <set>

#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

using internal::start_candidate;
using internal::worker_entry;
using internal::worker_health;

/// Workers that end what they start as their entry in `fails` says, within one
/// step of the clock for failures and after a second otherwise.
struct failing_fixture : scheduler_fixture {
  failing_fixture() {
    on_event = [this](const scheduler_event& event) {
      if (event.kind == scheduler_event_kind::kSubmissionEnded)
        outcomes[event.task.submission] = event.outcome;
      if (event.kind == scheduler_event_kind::kWorkerAvoided)
        on_probation.insert(event.worker);
      if (event.kind == scheduler_event_kind::kWorkerTrusted)
        on_probation.erase(event.worker);
    };
  }

  static constexpr std::chrono::milliseconds kStep{50};
  static constexpr std::chrono::milliseconds kRunTime{1000};

  struct running {
    start_command command;
    base::time_point since;
  };

  void Play(std::chrono::milliseconds time) {
    for (const base::time_point end = now + time; now < end; Advance(kStep)) {
      for (const worker_description& worker : workers)
        EndRuns(worker.id);
      for (const start_command& start : RunRound()) {
        runs[start.worker].push_back({start, now});
        ++starts_on[start.worker];
      }
    }
  }

  void EndRuns(const std::string& worker) {
    worker_report report;
    std::vector<running> left;
    for (const running& run : runs[worker]) {
      const bool failed = fails.contains(worker) && run.since >= bad_since;
      const bool lasts = lasting.contains(run.command.task.submission);
      if (!failed && (lasts || now - run.since < kRunTime)) {
        report.running.push_back(MakeReportedRun(run.command));
        left.push_back(run);
        continue;
      }
      report.ended.push_back(
          {++ends[worker], run.command.task, run.command.run,
           failed ? run_outcome::kFailed : run_outcome::kDone, ""});
    }
    runs[worker] = left;
    Report(worker, report);
  }

  /// Submissions of four tasks on half of the workers' room, each 200 ms.
  void Submit(int count) {
    for (int i = 0; i < count; ++i) {
      scheduler.Accept(
          MakeSubmission("s" + std::to_string(++submitted), MakeStep(4, 1500)));
      Play(std::chrono::milliseconds(200));
    }
  }

  /// Each worker does a run; then services leave room on w-4 only.
  void FillAllButOneWorker() {
    scheduler.Accept(MakeSubmission("first", MakeStep(4, 16'000)));
    Play(std::chrono::seconds(2));
    step_request services = MakeServiceStep(9000);
    services.task_count = 3;
    services.max_per_worker = 1;
    services.image.clear();
    services.required_label = "full";
    for (int i = 0; i < 3; ++i)
      workers[static_cast<std::size_t>(i)].labels.push_back("full");
    scheduler.SetWorkers(workers);
    lasting = {"services"};
    scheduler.Accept(MakeSubmission("services", services));
    Play(std::chrono::seconds(2));
    BOOST_REQUIRE(runs["w-4"].empty());
  }

  /// All runs end as stopped.
  void StopRuns() {
    for (auto& [worker, left] : runs) {
      worker_report report;
      for (const running& run : left)
        report.ended.push_back({++ends[worker], run.command.task,
                                run.command.run, run_outcome::kStopped, ""});
      left.clear();
      Report(worker, report);
    }
  }

  /// A submission whose first run fails on w-4.
  void FailOnce(const step_request& step) {
    submission failing = MakeSubmission("failing", step);
    failing.policy.attempt_limit = 4;
    fails = {"w-4"};
    scheduler.Accept(failing);
    Play(2 * kStep);
    fails.clear();
    BOOST_REQUIRE(outcomes.count("failing") == 0u);
  }

  std::size_t Failed() {
    std::size_t failed = 0;
    for (const auto& [id, outcome] : outcomes)
      failed += outcome == "failed" ? 1 : 0;
    return failed;
  }

  std::set<std::string> fails;
  /// Submissions whose runs don't end by themselves.
  std::set<std::string> lasting;
  base::time_point bad_since;
  std::map<std::string, std::vector<running>> runs;
  std::map<std::string, std::int64_t> ends;
  std::map<std::string, int> starts_on;
  int submitted = 0;
  std::map<std::string, std::string> outcomes;
  std::set<std::string> on_probation;
};

/// Workers whose ends of runs are told to worker_health directly.
struct judged_workers {
  worker_entry& Listed(const std::string& id) {
    worker_entry& worker = table.FindOrAdd(id);
    worker.listed = true;
    return worker;
  }
  void AddSound(int count) {
    for (int i = 0; i < count; ++i)
      Listed("sound-" + std::to_string(i));
  }
  /// Failures of two submissions, which put the worker on probation.
  void FailTwice(worker_entry& worker) const {
    health.OnFailed(worker, {"a"}, now, now);
    health.OnFailed(worker, {"b"}, now, now);
  }
  void Advance(std::chrono::milliseconds time) { now += time; }

  scheduler_settings limits;
  internal::worker_table table;
  worker_health health{limits, table};
  base::time_point now = base::time_point(std::chrono::hours(1));
  const start_candidate fresh{.can_test_worker = true};
  const start_candidate retry{.failures = 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_health_suite, failing_fixture)

BOOST_AUTO_TEST_CASE(AWorkerThatFailsAllItStartsGetsFewStartsAndNoTaskIsLost) {
  Submit(15);
  starts_on.clear();
  bad_since = now;
  fails = {"w-1"};
  Submit(30);
  Play(std::chrono::milliseconds(4000));
  BOOST_TEST(outcomes.size() == 45u);
  // The first wave fails before its ends are known.
  BOOST_TEST(starts_on["w-1"] < 16);
  BOOST_TEST(Failed() == 0u);
}

BOOST_AUTO_TEST_CASE(AWorkerThatRecoversIsUsedAgain) {
  Submit(10);
  bad_since = now;
  fails = {"w-1"};
  Submit(10);
  fails.clear();
  Play(std::chrono::milliseconds(9000));
  // All workers are needed; the first run on it is a test.
  for (const std::string id : {"wide-1", "wide-2"}) {
    starts_on.clear();
    scheduler.Accept(MakeSubmission(id, MakeStep(40, 1500)));
    Play(std::chrono::milliseconds(3000));
  }
  BOOST_TEST(starts_on["w-1"] > 4);
  BOOST_TEST(Failed() == 0u);
}

BOOST_AUTO_TEST_CASE(AWorkerThatRecoversTakesServicesThoughNothingElseRuns) {
  fails = {"w-3"};
  Submit(10);
  Play(std::chrono::seconds(5));
  fails.clear();
  BOOST_REQUIRE(on_probation == std::set<std::string>{"w-3"});
  BOOST_REQUIRE(outcomes.size() == 10u);
  // One task for each worker.
  step_request services = MakeServiceStep(12'000);
  services.task_count = 4;
  lasting = {"services"};
  scheduler.Accept(MakeSubmission("services", services));
  Play(std::chrono::seconds(30));
  for (const worker_description& worker : workers)
    BOOST_TEST(runs[worker.id].size() == 1u, "no service on " << worker.id);
}

/// review/4: a task that failed once was never started again while the workers
/// with good records were full of services.
BOOST_AUTO_TEST_CASE(ARetryStartsThoughOnlyTheWorkerThatFailedItHasRoom) {
  FillAllButOneWorker();
  FailOnce(MakeStep(1, 8000));
  Play(std::chrono::seconds(4));
  BOOST_TEST(outcomes["failing"] == "completed");
}

/// The same cause as for review/4, with tasks that are placed together.
BOOST_AUTO_TEST_CASE(AGangStartsAgainThoughOnlyTheWorkerThatFailedItHasRoom) {
  FillAllButOneWorker();
  step_request gang = MakeStep(2, 8000);
  gang.gang = true;
  FailOnce(gang);
  Play(std::chrono::seconds(4));
  BOOST_TEST(runs["w-4"].empty());
  BOOST_TEST(outcomes["failing"] == "completed");
}

BOOST_AUTO_TEST_CASE(ARetryWaitsForAProvenWorkerThatSoonHasRoom) {
  FillAllButOneWorker();
  FailOnce(MakeStep(1, 8000));
  starts_on.clear();
  scheduler.Cancel("services", now);
  StopRuns();
  Play(std::chrono::seconds(1));
  BOOST_TEST(starts_on["w-1"] + starts_on["w-2"] + starts_on["w-3"] == 1);
  BOOST_TEST(starts_on["w-4"] == 0);
}

/// The probation of a worker on which only a last attempt or a gang has room.
BOOST_AUTO_TEST_CASE(AWorkerThatRecoversTakesLastAttemptsIfNothingElseTestsIt) {
  FillAllButOneWorker();
  fails = {"w-4"};
  for (const std::string id : {"once-1", "once-2"}) {
    submission once = MakeSubmission(id, MakeStep(1, 8000));
    once.policy.attempt_limit = 1;
    scheduler.Accept(once);
    Play(std::chrono::milliseconds(500));
  }
  BOOST_REQUIRE(on_probation == std::set<std::string>{"w-4"});
  fails.clear();
  submission last = MakeSubmission("last", MakeStep(1, 8000));
  last.policy.attempt_limit = 1;
  scheduler.Accept(last);
  step_request gang = MakeStep(2, 8000);
  gang.gang = true;
  scheduler.Accept(MakeSubmission("gang", gang));
  Play(std::chrono::seconds(8));
  BOOST_TEST(outcomes["last"] == "completed");
  BOOST_TEST(outcomes["gang"] == "completed");
}

BOOST_AUTO_TEST_CASE(AServiceThatTestsAWorkerProvesItByStayingAlive) {
  FillAllButOneWorker();
  fails = {"w-4"};
  for (const std::string id : {"once-1", "once-2"}) {
    scheduler.Accept(MakeSubmission(id, MakeStep(1, 8000)));
    Play(std::chrono::milliseconds(100));
  }
  lasting.insert("tests");
  scheduler.Accept(MakeSubmission("tests", MakeServiceStep(8000)));
  Play(std::chrono::seconds(10));
  BOOST_TEST(on_probation.contains("w-4"));
  // Its failures take up no attempt, and come at a pause.
  BOOST_TEST(starts_on["w-4"] < 12);
  fails.clear();
  Play(std::chrono::seconds(5));
  BOOST_TEST(runs["w-4"].size() == 1u);
  BOOST_TEST(on_probation.empty());
}

BOOST_AUTO_TEST_CASE(WithMostWorkersFailingAllStayInUse) {
  Submit(10);
  bad_since = now;
  fails = {"w-1", "w-2", "w-3"};
  Submit(10);
  starts_on.clear();
  Submit(10);
  BOOST_TEST(starts_on["w-4"] > 0);
  BOOST_TEST(starts_on["w-1"] + starts_on["w-2"] + starts_on["w-3"] > 3);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatFollowsServesRetriesThoughItKnowsNoWorker) {
  const submission accepted = MakeSubmission("a", MakeStep(1, 1500));
  scheduler.Accept(accepted);
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  worker_report report;
  report.ended = {{1, starts[0].task, 1, run_outcome::kFailed, ""}};
  Report(starts[0].worker, report);
  shard_scheduler next{settings, {}};
  next.Accept(accepted);
  next.Restore(scheduler.Snapshot());
  next.FinishRestore(now, now, std::chrono::milliseconds(0));
  next.SetWorkers(workers);
  for (const worker_description& worker : workers)
    ReportTo(next, worker.id, {});
  const auto again = RunRoundOn(next);
  BOOST_REQUIRE(again.size() == 1u);
  BOOST_TEST(again[0].worker != starts[0].worker);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(worker_health_rules, judged_workers)

BOOST_AUTO_TEST_CASE(ManyWorkersOnProbationAreOnlyAvoided) {
  std::vector<worker_entry*> failing;
  for (int i = 0; i < 10; ++i) {
    worker_entry& worker = Listed("w-" + std::to_string(i));
    if (i < 4)
      failing.push_back(&worker);
  }
  for (std::size_t i = 0; i < 3; ++i)
    FailTwice(*failing[i]);
  health.BeginRound(now);
  BOOST_TEST(!health.Allows(*failing[0], fresh, now));
  FailTwice(*failing[3]);
  health.BeginRound(now);
  for (const worker_entry* worker : failing)
    BOOST_TEST(health.Allows(*worker, fresh, now));
}

BOOST_AUTO_TEST_CASE(RetriesUseProvenWorkersOnceThereAreEnough) {
  const start_candidate bound{.failures = 1, .is_bound = true};
  worker_entry& proven = Listed("proven");
  worker_entry& other = Listed("other");
  health.BeginRound(now);
  BOOST_TEST(health.Allows(other, retry, now));
  worker_health::OnDone(proven, now);
  health.BeginRound(now);
  BOOST_TEST(health.Allows(proven, retry, now));
  BOOST_TEST(!health.Allows(other, retry, now));
  BOOST_TEST(health.Allows(other, bound, now));
}

BOOST_AUTO_TEST_CASE(RunsFromBeforeTheFailureDoNotClearIt) {
  worker_entry& worker = Listed("w");
  const auto before = now - std::chrono::seconds(1);
  health.OnFailed(worker, {"a"}, now, now);
  BOOST_TEST(
      (worker_health::OnDone(worker, before) == worker_health::change::kNone));
  health.OnFailed(worker, {"b"}, now, now);
  BOOST_TEST((health.OnFailed(worker, {"c"}, now, now) ==
              worker_health::change::kNone));
  BOOST_TEST(worker.health.on_probation);
  worker_health::OnDone(worker, before);
  BOOST_TEST(worker.health.on_probation);
  BOOST_TEST((worker_health::OnDone(worker, now + std::chrono::seconds(1)) ==
              worker_health::change::kTrusted));
  BOOST_TEST(!worker.health.on_probation);
}

BOOST_AUTO_TEST_CASE(FailuresAmongManyRunsThatAreDoneMeanNothing) {
  worker_entry& worker = Listed("w");
  const auto before = now - std::chrono::seconds(1);
  health.OnFailed(worker, {"a"}, before, now);
  for (int i = 0; i < 6; ++i)
    worker_health::OnDone(worker, before - std::chrono::seconds(1));
  health.OnFailed(worker, {"b"}, before, now);
  BOOST_TEST(!worker.health.on_probation);
}

BOOST_AUTO_TEST_CASE(TestsOfAWorkerThatFailsComeLessAndLessOften) {
  worker_entry& worker = Listed("w");
  AddSound(3);
  FailTwice(worker);
  int tests = 0;
  for (int i = 0; i < 400; ++i) {
    BOOST_TEST(!health.Allows(worker, retry, now));
    if (health.Allows(worker, fresh, now)) {
      const task_ref task{"t" + std::to_string(++tests)};
      worker_health::OnAssign(worker, task);
      BOOST_TEST(!health.Allows(worker, fresh, now));
      health.OnFailed(worker, task, now, now);
    }
    Advance(std::chrono::milliseconds(100));
  }
  // After 0.5, 1, 2, 4 and then each 8 s.
  BOOST_TEST(tests == 8);
}

BOOST_AUTO_TEST_CASE(ATestWhoseRunIsGoneDoesNotKeepTheWorkerOut) {
  AddSound(3);
  worker_entry& worker = Listed("w");
  FailTwice(worker);
  worker_health::OnAssign(worker, {"test"});
  Advance(std::chrono::milliseconds(10'000));
  BOOST_TEST(!health.Allows(worker, fresh, now));
  health.BeginRound(now);
  Advance(std::chrono::milliseconds(10'000));
  BOOST_TEST(health.Allows(worker, fresh, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
