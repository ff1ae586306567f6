#include <map>
#include <memory>

#include "chivecrank/submissions/record_codec.h"
#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUntilCrash{10};
constexpr milliseconds kUntilReturn{2000};
constexpr milliseconds kUntilSurvived{600};
/// Starts of a task that crashes its workers, from which on a promise is
/// broken.
constexpr int kForbiddenStarts = 6;

/// Workers that crash and return under the same identifier.
struct crash_fixture : scheduler_fixture {
  /// Plans and commits as the scheduler's owner, and keeps what was committed.
  std::vector<start_command> Round() { return RoundOn(scheduler); }
  std::vector<start_command> RoundOn(shard_scheduler& owner) {
    owner.Plan(now, since_epoch);
    if (const auto batch = owner.TakeBatch()) {
      for (const outcome_change& change : batch->outcomes)
        outcomes[change.submission] = change.outcome;
      owner.OnCommitted(batch->number);
    }
    const auto starts = owner.TakeCommands(now).starts;
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
    auto next = std::make_unique<shard_scheduler>(settings,
                                                  scheduler_event_hook{});
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
