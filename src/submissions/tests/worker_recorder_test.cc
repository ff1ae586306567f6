#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

constexpr std::chrono::milliseconds kLongestLease{12'000};
constexpr std::chrono::milliseconds kStep{250};
/// A worker with runs answers a poll after this time unless a run ends.
constexpr std::chrono::milliseconds kPollWait{600};

/// An owner whose only run is on a worker that has an address.
struct recorder_fixture : scheduler_fixture {
  recorder_fixture() {
    std::uint16_t port = 8000;
    for (worker_description& worker : workers)
      worker.address = {"10.0.0.1", ++port};
    scheduler.SetWorkers(workers);
    scheduler.Accept(request);
    Commit(scheduler);
    const auto starts = scheduler.TakeCommands(now).starts;
    BOOST_REQUIRE(starts.size() == 1u);
    scheduler.OnLeaseSent(starts[0].worker, now);
    scheduler.OnStartOutcome(starts[0], start_outcome::kStarted, now);
    start = starts[0];
  }

  /// Plans and commits; keeps what the journal gets.
  void Commit(shard_scheduler& owner) {
    owner.Plan(now, since_epoch);
    const auto batch = owner.TakeBatch();
    if (!batch)
      return;
    journal.push_back({false, batch->tasks, {}, batch->workers});
    owner.OnCommitted(batch->number);
  }

  /// The run's worker answers the owner and still has the run.
  void AnswerWithItsRun(shard_scheduler& owner) {
    worker_report report;
    report.started_at_ms = 1;
    report.running = {MakeReportedRun(start)};
    owner.OnReport(start.worker, report, now, now);
  }

  /// The run's worker reports that the run is gone, and is the only one for the
  /// next task.
  void OfferWorkToItsWorkerAlone() {
    scheduler.OnReport(start.worker, {.started_at_ms = 1}, now, now);
    workers = {workers[static_cast<std::size_t>(start.worker[2] - '1')]};
    scheduler.SetWorkers(workers);
    scheduler.Accept(MakeSubmission("b", MakeStep(1, 1000)));
  }

  /// The worker stays silent for so long.
  void StaySilent(shard_scheduler& owner, std::chrono::milliseconds time) {
    for (std::chrono::milliseconds passed{0}; passed < time; passed += kStep) {
      Advance(kStep);
      owner.OnPollUnanswered(start.worker, now);
      Commit(owner);
    }
  }

  std::unique_ptr<shard_scheduler> NextOwner() {
    auto next =
        std::make_unique<shard_scheduler>(settings, scheduler_event_hook());
    next->Accept(request);
    for (const journal_entry& entry : journal)
      next->Restore(entry);
    next->FinishRestore(now, now, kLongestLease);
    next->SetWorkers(workers);
    return next;
  }

  submission request = MakeSubmission("a", MakeStep(1, 1000));
  start_command start;
  std::vector<journal_entry> journal;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_recorder, recorder_fixture)

BOOST_AUTO_TEST_CASE(TheNextOwnerKnowsTheAddressOfAnUnlistedWorker) {
  const settings::endpoint address =
      workers[static_cast<std::size_t>(start.worker[2] - '1')].address;
  workers.clear();
  const auto known = NextOwner()->WorkersWithRuns();
  BOOST_REQUIRE(known.size() == 1u);
  BOOST_TEST(known[0].id == start.worker);
  BOOST_TEST((known[0].address == address));
}

BOOST_AUTO_TEST_CASE(WithoutABoundTheNextOwnerWaitsForTheLongestLease) {
  const auto next = NextOwner();
  BOOST_TEST((next->AwaitedRuns(now).longest_wait == kLongestLease));
}

BOOST_AUTO_TEST_CASE(AWorkerThatAnsweredIsNotAwaitedForAnEarlierOwnersLease) {
  const auto next = NextOwner();
  AnswerWithItsRun(*next);
  const base::time_point last_lease_over = now + settings.LongestLease();
  StaySilent(*next, std::chrono::seconds(3));
  BOOST_TEST((now + next->AwaitedRuns(now).longest_wait <= last_lease_over));
}

BOOST_AUTO_TEST_CASE(AnAnswerDoesNotShortenALeaseOfItsOwner) {
  const auto next = NextOwner();
  AnswerWithItsRun(*next);
  Advance(kStep);
  next->OnLeaseSent(start.worker, now);
  const base::time_point lease_over = now + settings.LongestLease();
  AnswerWithItsRun(*next);
  BOOST_TEST((next->LeaseExpiries().at(start.worker) == lease_over));
}

BOOST_AUTO_TEST_CASE(TheWaitForASilentWorkerGoesOnAcrossOwners) {
  StaySilent(scheduler, std::chrono::seconds(2));
  const auto second = NextOwner();
  const auto wait = second->AwaitedRuns(now).longest_wait;
  BOOST_TEST(wait.count() > 0);
  BOOST_TEST((wait <= settings.worker_lease + settings.lease_margin));
  StaySilent(*second, std::chrono::seconds(2));
  const auto third = NextOwner();
  // What an owner waited since its last record counts for nothing.
  BOOST_TEST((third->AwaitedRuns(now).longest_wait <=
              wait - std::chrono::seconds(2) + settings.bound_record_interval +
                  kStep));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatComesBackWaitsNoLongerThanItKnew) {
  const auto known = scheduler.LeaseExpiries();
  Advance(std::chrono::seconds(5));
  const auto next = NextOwner();
  next->RestrictLeases(known);
  const auto wait = next->AwaitedRuns(now).longest_wait;
  BOOST_TEST((wait <= settings.worker_lease + settings.lease_margin -
                          std::chrono::seconds(5)));
  BOOST_TEST(wait.count() > 0);
}

BOOST_AUTO_TEST_CASE(AWorkerThatAnswersAgainGetsALeaseOnceItsBoundIsReleased) {
  StaySilent(scheduler, std::chrono::seconds(1));
  BOOST_TEST(!scheduler.MayRenewLease(start.worker));
  worker_report report;
  report.started_at_ms = 1;
  report.running = {MakeReportedRun(start)};
  scheduler.OnReport(start.worker, report, now, now);
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(!scheduler.MayRenewLease(start.worker));
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(scheduler.MayRenewLease(start.worker));
  journal.push_back({false, batch->tasks, {}, batch->workers});
  BOOST_TEST((NextOwner()->AwaitedRuns(now).longest_wait == kLongestLease));
}

BOOST_AUTO_TEST_CASE(ANextOwnerReleasesABoundBeforeItGrantsALease) {
  StaySilent(scheduler, std::chrono::seconds(1));
  const auto next = NextOwner();
  BOOST_TEST(!next->MayRenewLease(start.worker));
  next->OnReport(start.worker, {.started_at_ms = 1}, now, now);
  BOOST_TEST(!next->MayRenewLease(start.worker));
  Commit(*next);
  BOOST_TEST(next->MayRenewLease(start.worker));
}

BOOST_AUTO_TEST_CASE(ABoundOutlivesTheRunsThatItWasMadeFor) {
  StaySilent(scheduler, std::chrono::seconds(1));
  // Recorded: the runs are lost. Not recorded: that the bound is released.
  Advance(std::chrono::seconds(20));
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  journal.push_back({false, batch->tasks, {}, {}});
  const auto next = NextOwner();
  BOOST_TEST(!next->MayRenewLease(start.worker));
  Commit(*next);
  BOOST_TEST(next->MayRenewLease(start.worker));
}

BOOST_AUTO_TEST_CASE(NoRunStartsOnAWorkerWhoseBoundIsRecorded) {
  OfferWorkToItsWorkerAlone();
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  scheduler.OnPollUnanswered(start.worker, now);
  Advance(std::chrono::seconds(1));
  scheduler.Plan(now, since_epoch);
  scheduler.OnCommitted(batch->number);
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
}

BOOST_AUTO_TEST_CASE(NoRunStartsOnAWorkerThatHasJustFallenSilent) {
  OfferWorkToItsWorkerAlone();
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  scheduler.OnPollUnanswered(start.worker, now);
  scheduler.OnCommitted(batch->number);
  // The command's lease would make the others wait longer for the worker.
  BOOST_TEST(scheduler.TakeCommands(now).starts.empty());
}

BOOST_AUTO_TEST_CASE(AStartThatWasNotSentDoesNotProlongTheLease) {
  OfferWorkToItsWorkerAlone();
  Commit(scheduler);
  const auto starts = scheduler.TakeCommands(now).starts;
  BOOST_REQUIRE(starts.size() == 1u);
  const base::time_point lease_over =
      scheduler.LeaseExpiries().at(start.worker);
  Advance(kStep);
  scheduler.OnLeaseSent(start.worker, now);
  scheduler.OnStartOutcome(starts[0], start_outcome::kNotSent, now);
  BOOST_TEST((scheduler.LeaseExpiries().at(start.worker) == lease_over));
}

BOOST_AUTO_TEST_CASE(AWorkerThatHoldsTheFirstPollKeepsItsLease) {
  const auto next = NextOwner();
  Advance(kPollWait);
  next->Plan(now, since_epoch);
  BOOST_TEST(next->MayRenewLease(start.worker));
}

BOOST_AUTO_TEST_CASE(TasksGoBesideAWorkerWhoseBoundIsRecorded) {
  StaySilent(scheduler, std::chrono::seconds(1));
  for (const worker_description& worker : workers)
    if (worker.id != start.worker)
      Report(worker.id, {});
  scheduler.Accept(MakeSubmission("b", MakeStep(1, 1000)));
  const auto starts = RunRound();
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].worker != start.worker);
}

BOOST_AUTO_TEST_CASE(AGangStartsWholeBesideAWorkerWhoseBoundIsRecorded) {
  StaySilent(scheduler, std::chrono::seconds(1));
  for (const worker_description& worker : workers)
    if (worker.id != start.worker)
      Report(worker.id, {});
  step_request gang = MakeStep(3, 8000);
  gang.gang = true;
  scheduler.Accept(MakeSubmission("b", gang));
  BOOST_TEST(RunRound().size() == 3u);
}

BOOST_AUTO_TEST_CASE(ARunStartedByAnOwnerThatKnowsNoBoundsIsWaitedFor) {
  StaySilent(scheduler, std::chrono::seconds(1));
  // An owner of the program before bounds were recorded: it renews the lease,
  // starts another run and records neither.
  submission request_b = MakeSubmission("b", MakeStep(1, 1000));
  task_change assigned{{"b"}, {}};
  assigned.progress.phase = task_phase::kAssigned;
  assigned.progress.run = 1;
  assigned.progress.worker = start.worker;
  journal.push_back({false, {assigned}});
  Advance(std::chrono::seconds(9));
  shard_scheduler next(settings, {});
  next.Accept(request);
  next.Accept(request_b);
  for (const journal_entry& entry : journal)
    next.Restore(entry);
  next.FinishRestore(now, now, kLongestLease);
  next.SetWorkers(workers);
  BOOST_TEST((next.AwaitedRuns(now).longest_wait == kLongestLease));
}

BOOST_AUTO_TEST_CASE(ARunOnAWorkerThatMovedIsNotLostWithItsOldAddress) {
  scheduler.Accept(MakeSubmission("b", MakeStep(1, 1000)));
  workers = {workers[static_cast<std::size_t>(start.worker[2] - '1')]};
  scheduler.SetWorkers(workers);
  scheduler.Plan(now, since_epoch);
  const auto batch = scheduler.TakeBatch();
  BOOST_REQUIRE(batch.has_value());
  journal.push_back({false, batch->tasks, {}, batch->workers});
  // The worker starts anew at another address while the commit is in flight.
  workers[0].address.port = 9000;
  workers[0].started_at_ms = 2;
  scheduler.SetWorkers(workers);
  scheduler.OnCommitted(batch->number);
  const auto starts = scheduler.TakeCommands(now).starts;
  workers.clear();
  shard_scheduler next(settings, {});
  next.Accept(request);
  next.Accept(MakeSubmission("b", MakeStep(1, 1000)));
  for (const journal_entry& entry : journal)
    next.Restore(entry);
  next.FinishRestore(now, now, kLongestLease);
  for (const worker_description& worker : next.WorkersWithRuns())
    BOOST_TEST((starts.empty() || worker.address.port == 9000));
}

BOOST_AUTO_TEST_CASE(TheWaitGoesOnForAWorkerOfUnknownAddress) {
  journal.clear();
  task_change assigned{start.task, {}};
  assigned.progress.phase = task_phase::kAssigned;
  assigned.progress.run = start.run;
  assigned.progress.worker = start.worker;
  journal.push_back({false, {assigned}});
  workers.clear();
  const auto second = NextOwner();
  StaySilent(*second, std::chrono::seconds(4));
  BOOST_TEST((NextOwner()->AwaitedRuns(now).longest_wait < kLongestLease));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
