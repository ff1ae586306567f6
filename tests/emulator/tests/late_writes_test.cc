#include <optional>
#include <string_view>

#include "chivecrank/runtime/keys.h"
#include "chivecrank/runtime/shard_tenure.h"
#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLateBy{5800};
constexpr std::int64_t kWaiting = 20;
constexpr char kId[] = "5c0e7a21d94b36f8";

bool WritesKind(const metadata::transaction& changes, runtime::key_kind kind) {
  for (const metadata::write& written : changes.writes)
    if (const auto key = runtime::ParseSharedKey(written.key);
        key && key->kind == kind)
      return true;
  return false;
}

bool WritesJournal(const metadata::transaction& changes) {
  for (const metadata::write& written : changes.writes)
    if (written.key.starts_with(runtime::JournalPrefix(0)))
      return true;
  return false;
}

/// A day on which the store does one write late and doesn't answer it: the
/// first one of a kind of key that carries no journal entries.
struct late_writes_fixture : day_fixture {
  late_writes_fixture() {
    settings.queues = {UrgentLoad()};
    settings.queues[0].steps = 1;
    settings.queues[0].step.task_count = 1;
    settings.queues[0].step.demand = settings.capacity;
  }

  void LoseNext(runtime::key_kind kind) {
    Day().Store().Faults().lateness =
        [this, kind](const metadata::transaction& changes)
        -> std::optional<milliseconds> {
      if (lost_at || !WritesKind(changes, kind) || WritesJournal(changes))
        return std::nullopt;
      lost_at = Day().Now();
      return kLateBy;
    };
  }

  /// Hands in submissions of one task that fills a worker for `work`.
  void SubmitFillers(std::int64_t count, milliseconds work) {
    filler = settings.queues[0];
    filler.work = work;
    filler.step.estimate = work;
    for (std::int64_t i = 0; i < count; ++i)
      Day().Submit(filler);
  }

  /// The newest tenure of shard 0; unset if there is none.
  std::optional<runtime::tenure_record> StoredTenure() {
    const auto& items = Day().Store().Items();
    const auto found = items.find(runtime::TenureKey(0));
    if (found == items.end())
      return std::nullopt;
    return runtime::DecodeTenure(found->second.value);
  }

  runtime::shard_status StoredStatus() {
    return *runtime::DecodeShardStatus(
        Day().Store().Items().at(runtime::StatusKey(0)));
  }

  queue_load filler;
  std::optional<base::time_point> lost_at;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(late_writes, late_writes_fixture)

/// Case 9 of the review: an old status, done late by the store, said that
/// nothing waits.
BOOST_AUTO_TEST_CASE(AStatusThatIsWrittenLateHidesNoWaitingSubmissions) {
  LoseNext(runtime::key_kind::kShardStatus);
  // The status of the second half goes without journal entries.
  const auto half = static_cast<std::int64_t>(settings.workers / 2);
  SubmitFillers(half, seconds(60));
  Day().Run(milliseconds(300), false);
  SubmitFillers(half, seconds(60));
  Day().Run(milliseconds(1500), false);
  BOOST_REQUIRE(lost_at.has_value());
  SubmitFillers(kWaiting, seconds(1));
  Day().Run(seconds(2), false);
  while (Day().Now() < *lost_at + kLateBy + seconds(4)) {
    Day().Run(milliseconds(100), false);
    for (std::size_t i = 0; i < settings.instances; ++i)
      BOOST_TEST(Day().InstanceAt(i).Intake().CountQueued(filler.name) ==
                 kWaiting);
  }
}

/// Case 13 of the review: the write of a submission was in doubt when its
/// cancellation was answered, and was carried out after that.
BOOST_AUTO_TEST_CASE(ASubmissionCancelledWhileItsWriteIsInDoubtNeverRuns) {
  submissions::submission offered;
  offered.id = kId;
  offered.queue = settings.queues[0].name;
  offered.policy = settings.queues[0].policy;
  offered.steps = {settings.queues[0].step};
  LoseNext(runtime::key_kind::kSubmission);
  auto& intake = Day().InstanceAt(0).Intake();
  std::optional<runtime::submit_outcome> submitted;
  intake.Submit(
      offered, Day().Now() + milliseconds(700),
      [&](runtime::submit_answer answer) { submitted = answer.verdict; });
  Day().Run(seconds(1), false);
  BOOST_REQUIRE(lost_at.has_value());
  BOOST_TEST((submitted == runtime::submit_outcome::kOutcomeUnknown));
  std::optional<runtime::cancel_outcome> cancelled;
  intake.Cancel(kId, Day().Now() + seconds(3),
                [&](runtime::cancel_outcome outcome) { cancelled = outcome; });
  Day().Run(seconds(1), false);
  BOOST_TEST((cancelled == runtime::cancel_outcome::kUnknownSubmission));
  const std::string key =
      runtime::ToString({runtime::key_kind::kSubmission, kId});
  while (Day().Now() < *lost_at + kLateBy + seconds(4)) {
    Day().Run(milliseconds(100), false);
    BOOST_TEST(!Day().Store().Items().contains(key));
  }
}

/// The same for the record of an owner's tenure: after an old one the next
/// owner would wait for all leases that earlier owners may have granted.
BOOST_AUTO_TEST_CASE(ATenureThatIsWrittenLateUnsettlesNone) {
  Day().KillInstance(Day().OwnerOf(0));
  LoseNext(runtime::key_kind::kTenure);
  while (!lost_at)
    Day().Run(milliseconds(50), false);
  const std::size_t owner = Day().OwnerOf(0);
  std::optional<runtime::tenure_record> before;
  while (Day().Now() < *lost_at + kLateBy + seconds(2)) {
    Day().Run(milliseconds(20), false);
    const auto now = StoredTenure();
    if (before && before->settled && now->fence == before->fence)
      BOOST_TEST(now->settled);
    before = now;
  }
  BOOST_TEST(before->settled);
  BOOST_TEST(Day().OwnerOf(0) == owner);
}

/// Its start changed nothing else in the status, which was not written again.
BOOST_AUTO_TEST_CASE(ASubmissionThatRunsIsShownAsRunning) {
  queue_load idle = FillingLoad();
  idle.steps = 1;
  idle.step.task_count = 1;
  idle.work = seconds(20);
  settings.queues = {idle};
  Day().Submit(idle);
  while (StoredStatus().not_started.empty())
    Day().Run(milliseconds(1), false);
  while (!StoredStatus().not_started.empty())
    Day().Run(milliseconds(1), false);
  const std::string second = Day().Submit(idle);
  Day().Run(seconds(4), false);
  BOOST_TEST((Day().StateOf(second) == runtime::submission_state::kRunning));
}

/// An owner that stopped when its copy of the keys was older than the store
/// recorded that its tenure isn't settled.
BOOST_AUTO_TEST_CASE(AnOwnerThatStopsAsItsTenureSettlesIsKnownToHaveEnded) {
  Day().KillInstance(Day().OwnerOf(0));
  const metadata::revision earlier = StoredTenure()->fence;
  while (StoredTenure()->fence == earlier || !StoredTenure()->settled)
    Day().Run(milliseconds(1), false);
  Day().StopInstance(Day().OwnerOf(0));
  while (!StoredTenure()->released)
    Day().Run(milliseconds(1), false);
  BOOST_TEST(runtime::AllEarlierOwnersEnded(StoredTenure(), 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
