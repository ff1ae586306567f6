#include <map>
#include <memory>

#include "chivecrank/submissions/record_codec.h"
#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUntilCrash{10};
constexpr milliseconds kUntilReturn{2000};
constexpr milliseconds kUntilQuickReturn{1000};
constexpr milliseconds kUntilSurvived{600};
/// From then on an owner knows of the crashes around another one.
constexpr milliseconds kUntilSettled{3500};
/// Starts of a task that crashes its workers, from which on a promise is
/// broken.
constexpr int kForbiddenStarts = 6;

/// Workers that crash and return under the same identifier.
struct crash_fixture : scheduler_fixture {
  crash_fixture() {
    Advance(kUntilSettled);
    ReportAll();
  }

  /// Plans and commits as the scheduler's owner, and keeps what was committed.
  std::vector<start_command> Round() { return RoundOn(scheduler); }
  std::vector<start_command> RoundOn(shard_scheduler& owner) {
    owner.Plan(now, since_epoch);
    if (const auto batch = owner.TakeBatch()) {
      for (const outcome_change& change : batch->outcomes)
        outcomes[change.submission] = change.outcome;
      owner.OnCommitted(batch->number);
    }
    auto starts = owner.TakeCommands(now).starts;
    for (const start_command& command : starts) {
      owner.OnStartOutcome(command, start_outcome::kStarted, now);
      running[command.worker].running.push_back(MakeReportedRun(command));
    }
    return starts;
  }

  /// All workers that are up answer.
  void ReportAll() { ReportAllTo(scheduler); }
  void ReportAllTo(shard_scheduler& owner) {
    for (const worker_description& worker : workers) {
      worker_report report = running[worker.id];
      report.started_at_ms = Born(worker.id);
      if (!down[worker.id])
        ReportTo(owner, worker.id, report);
    }
  }

  void Crash(const std::string& worker) { CrashFor(scheduler, worker); }
  void CrashFor(shard_scheduler& owner, const std::string& worker) {
    down[worker] = true;
    running.erase(worker);
    owner.OnPollUnanswered(worker, now);
  }
  void Return(const std::string& worker) {
    down[worker] = false;
    ++born[worker];
  }

  /// The workers crash together; they return and all workers answer.
  void CrashAndReturn(const std::vector<std::string>& crashed) {
    Advance(kUntilCrash);
    for (const std::string& worker : crashed)
      Crash(worker);
    Advance(kUntilReturn);
    for (const std::string& worker : crashed)
      Return(worker);
    ReportAll();
  }

  /// All runs live on until they are no cause of a later crash.
  void Survive() {
    Advance(kUntilSurvived);
    ReportAll();
  }

  /// The next owner, from the journal of the one before.
  std::unique_ptr<shard_scheduler> NextOwner(
      const std::vector<submission>& accepted) {
    auto next =
        std::make_unique<shard_scheduler>(settings, scheduler_event_hook{});
    for (const submission& known : accepted)
      next->Accept(known);
    next->Restore(
        DecodeJournalEntry(EncodeJournalEntry(scheduler.Snapshot())).value());
    next->FinishRestore(now, now, milliseconds(10'000));
    next->SetWorkers(workers);
    return next;
  }

  std::int64_t Born(const std::string& worker) { return 1 + born[worker]; }
  bool IsGivenUp(const std::string& id) const {
    const auto found = outcomes.find(id);
    return found != outcomes.end() &&
           found->second == submission_outcome::kFailed;
  }

  std::map<std::string, submission_outcome> outcomes;
  std::map<std::string, worker_report> running;
  std::map<std::string, bool> down;
  std::map<std::string, std::int64_t> born;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_attribution_suite, crash_fixture)

BOOST_AUTO_TEST_CASE(ATaskThatCrashesItsWorkersIsNotStartedForever) {
  scheduler.Accept(MakeSubmission("deadly", MakeStep(1, 1000)));
  int starts = 0;
  for (; starts < kForbiddenStarts; ++starts) {
    const auto started = Round();
    if (started.empty())
      break;
    CrashAndReturn({started[0].worker});
  }
  BOOST_TEST(starts < kForbiddenStarts);
  BOOST_TEST(IsGivenUp("deadly"));
}

BOOST_AUTO_TEST_CASE(ATaskIsGivenUpAfterTwoWorkersThatNothingElseCrashed) {
  scheduler.Accept(MakeSubmission("deadly", MakeStep(1, 1000)));
  for (int crash = 0; crash < 2; ++crash) {
    const auto started = Round();
    BOOST_REQUIRE(started.size() == 1u);
    CrashAndReturn({started[0].worker});
  }
  BOOST_TEST(Round().empty());
  BOOST_TEST(IsGivenUp("deadly"));
}

BOOST_AUTO_TEST_CASE(ALongRunningTaskThatCrashesItsWorkersIsGivenUpToo) {
  step_request step = MakeStep(1, 1000);
  step.long_running = true;
  scheduler.Accept(MakeSubmission("deadly", step));
  for (int crash = 0; crash < 2; ++crash)
    CrashAndReturn({Round().at(0).worker});
  Round();
  BOOST_TEST(IsGivenUp("deadly"));
}

BOOST_AUTO_TEST_CASE(AGangWithATaskThatCrashesItsWorkersIsGivenUp) {
  step_request step = MakeStep(3, 9000);
  step.gang = true;
  scheduler.Accept(MakeSubmission("gang", step));
  std::int64_t number = 0;
  for (int crash = 0; crash < 2; ++crash) {
    const auto started = Round();
    BOOST_REQUIRE(started.size() == 3u);
    // The first member takes its worker down, and the others end with it.
    for (const start_command& other : {started[1], started[2]}) {
      worker_report& report = running[other.worker];
      report.running.clear();
      report.ended = {
          {++number, other.task, other.run, run_outcome::kGangBroken, {}}};
    }
    CrashAndReturn({started[0].worker});
  }
  BOOST_TEST(Round().empty());
  BOOST_TEST(IsGivenUp("gang"));
}

BOOST_AUTO_TEST_CASE(TasksBesideOneThatCrashesItsWorkersAreNotGivenUp) {
  scheduler.Accept(MakeSubmission("deadly", MakeStep(1, 1000)));
  scheduler.Accept(MakeSubmission("innocent", MakeStep(6, 1000)));
  for (int round = 0; round < 12; ++round) {
    for (const start_command& start : Round())
      if (start.task.submission == "deadly")
        Crash(start.worker);
    Advance(kUntilReturn);
    for (const worker_description& worker : workers)
      if (down[worker.id])
        Return(worker.id);
    ReportAll();
  }
  BOOST_TEST(IsGivenUp("deadly"));
  BOOST_TEST(!outcomes.contains("innocent"));
  std::size_t innocent_runs = 0;
  for (const auto& [worker, report] : running)
    innocent_runs += report.running.size();
  BOOST_TEST(innocent_runs == 6u);
}

BOOST_AUTO_TEST_CASE(NothingStartsBesideATaskUnderSuspicion) {
  scheduler.Accept(MakeSubmission("suspect", MakeStep(1, 1000)));
  CrashAndReturn({Round().at(0).worker});
  const auto trial = Round();
  BOOST_REQUIRE(trial.size() == 1u);
  scheduler.Accept(MakeSubmission("other", MakeStep(60, 1000)));
  for (const start_command& start : Round())
    BOOST_TEST(start.worker != trial[0].worker);
  Survive();
  bool is_used = false;
  for (const start_command& start : Round())
    is_used = is_used || start.worker == trial[0].worker;
  BOOST_TEST(is_used);
}

BOOST_AUTO_TEST_CASE(ATaskUnderSuspicionStartsWhereNothingHasJustStarted) {
  scheduler.Accept(MakeSubmission("suspect", MakeStep(1, 1000)));
  CrashAndReturn({Round().at(0).worker});
  scheduler.Accept(MakeSubmission("other", MakeStep(3, 1000)));
  const auto starts = Round();
  BOOST_REQUIRE(starts.size() == 4u);
  std::map<std::string, int> by_worker;
  for (const start_command& start : starts)
    ++by_worker[start.worker];
  for (const start_command& start : starts)
    if (start.task.submission == "suspect")
      BOOST_TEST(by_worker[start.worker] == 1);
}

BOOST_AUTO_TEST_CASE(ARunThatSurvivedItsStartIsNotBlamed) {
  step_request step = MakeStep(1, 1000);
  step.long_running = true;
  scheduler.Accept(MakeSubmission("service", step));
  for (int crash = 0; crash < kForbiddenStarts; ++crash) {
    const auto started = Round();
    BOOST_REQUIRE(started.size() == 1u);
    Survive();
    CrashAndReturn({started[0].worker});
  }
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(CrashesOfIdleWorkersAtTheSameTimeClearATask) {
  scheduler.Accept(MakeSubmission("innocent", MakeStep(1, 1000)));
  for (int crash = 0; crash < 3; ++crash) {
    const auto started = Round();
    BOOST_REQUIRE(started.size() == 1u);
    const std::string idle = started[0].worker == "w-4" ? "w-3" : "w-4";
    CrashAndReturn({started[0].worker, idle});
  }
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(AStartWithoutAnAnswerIsNoReasonToGiveATaskUp) {
  scheduler.Accept(MakeSubmission("late", MakeStep(1, 1000)));
  for (int crash = 0; crash < 2; ++crash) {
    scheduler.Plan(now, since_epoch);
    scheduler.OnCommitted(scheduler.TakeBatch()->number);
    const auto starts = scheduler.TakeCommands(now).starts;
    BOOST_REQUIRE(starts.size() == 1u);
    scheduler.OnStartOutcome(starts[0], start_outcome::kUnknown, now);
    const std::string worker = starts[0].worker;
    Advance(kUntilCrash);
    Crash(worker);
    Advance(kUntilReturn);
    ++born[worker];
    down[worker] = false;
    scheduler.OnWorkerReplaced(worker, now, now);
    ReportAll();
  }
  Round();
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(ASilentWorkerIsNoCrash) {
  scheduler.Accept(MakeSubmission("innocent", MakeStep(1, 1000)));
  for (int cut = 0; cut < kForbiddenStarts; ++cut) {
    const auto started = Round();
    BOOST_REQUIRE(started.size() == 1u);
    running.erase(started[0].worker);
    scheduler.OnPollUnanswered(started[0].worker, now);
    Advance(settings.worker_lease + settings.lease_margin + kUntilCrash);
    scheduler.Plan(now, since_epoch);
    ReportAll();
  }
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(AWorkerThatHadDrainedIsNoCrash) {
  scheduler.Accept(MakeSubmission("innocent", MakeStep(1, 1000)));
  for (int leave = 0; leave < 3; ++leave) {
    const auto started = Round();
    BOOST_REQUIRE(started.size() == 1u);
    auto listed = workers;
    for (worker_description& worker : listed)
      worker.draining = worker.id == started[0].worker;
    scheduler.SetWorkers(listed);
    Advance(kUntilCrash);
    Crash(started[0].worker);
    Advance(kUntilReturn);
    Return(started[0].worker);
    scheduler.SetWorkers(workers);
    ReportAll();
  }
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(ARunThatFailsAtOnceHasNotSurvivedItsStart) {
  submission deadly = MakeSubmission("deadly", MakeStep(1, 1000));
  deadly.policy.attempt_limit = 100;
  scheduler.Accept(deadly);
  CrashAndReturn({Round().at(0).worker});
  const start_command failing = Round().at(0);
  running.erase(failing.worker);
  worker_report report;
  report.started_at_ms = Born(failing.worker);
  report.ended = {{1, failing.task, failing.run, run_outcome::kFailed, {}}};
  Report(failing.worker, report);
  CrashAndReturn({Round().at(0).worker});
  Round();
  BOOST_TEST(IsGivenUp("deadly"));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatHasJustBegunKnowsTooLittleToGiveATaskUp) {
  const submission innocent = MakeSubmission("innocent", MakeStep(1, 1000));
  const auto owner = NextOwner({innocent});
  for (int crash = 0; crash < 2; ++crash) {
    ReportAllTo(*owner);
    const std::string worker = RoundOn(*owner).at(0).worker;
    Advance(kUntilCrash);
    CrashFor(*owner, worker);
    Advance(kUntilQuickReturn);
    Return(worker);
  }
  ReportAllTo(*owner);
  BOOST_TEST(RoundOn(*owner).size() == 1u);
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(TheNextOwnerKnowsTheCrashesOfATask) {
  const submission deadly = MakeSubmission("deadly", MakeStep(1, 1000));
  scheduler.Accept(deadly);
  CrashAndReturn({Round().at(0).worker});
  const std::string worker = Round().at(0).worker;
  const auto next = NextOwner({deadly});
  ReportAllTo(*next);
  Advance(kUntilCrash);
  CrashFor(*next, worker);
  Advance(kUntilReturn);
  Return(worker);
  ReportAllTo(*next);
  RoundOn(*next);
  BOOST_TEST(IsGivenUp("deadly"));
}

BOOST_AUTO_TEST_CASE(TheNextOwnerKnowsWhichRunsHadJustStartedAtACrash) {
  const submission service = MakeSubmission("service", MakeStep(4, 1000));
  const submission deadly = MakeSubmission("deadly", MakeStep(1, 1000));
  scheduler.Accept(service);
  const std::string worker = Round().at(0).worker;
  Survive();
  scheduler.Accept(deadly);
  BOOST_REQUIRE(Round().at(0).worker == worker);
  Advance(kUntilCrash);
  Crash(worker);
  Round();
  const auto next = NextOwner({service, deadly});
  Advance(kUntilReturn);
  Return(worker);
  ReportAllTo(*next);
  // All five start anew, the one under suspicion apart from the others.
  std::map<std::string, std::vector<std::string>> started;
  for (const start_command& start : RoundOn(*next))
    started[start.worker].push_back(start.task.submission);
  std::size_t apart = 0;
  for (const auto& [id, submissions] : started)
    if (std::ranges::count(submissions, "deadly") > 0)
      apart = submissions.size();
  BOOST_TEST(apart == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
