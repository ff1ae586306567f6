#include <boost/test/unit_test.hpp>

#include "chivecrank/runtime/keys.h"
#include "chivecrank/runtime/shard_tenure.h"
#include "tests/scripted_store_fixture.h"

namespace chivecrank::runtime {
namespace {

constexpr metadata::revision kFence = 7;

constexpr std::uint32_t kShard = 0;
constexpr std::chrono::milliseconds kStep{50};

/// The tenure of an owner, with the store that it writes to.
struct fixture : scripted_store_fixture {
  fixture() { store.items[OwnerKey(kShard)] = {OwnerKey(kShard), "", kFence}; }

  /// Lets time pass; the store answers each transaction at once.
  void RunAnswered(std::chrono::milliseconds time) {
    for (std::chrono::milliseconds passed{0}; passed < time; passed += kStep) {
      Pass(kStep);
      while (store.HasSent())
        store.AnswerNext();
    }
  }

  tenure_record Stored() {
    return *DecodeTenure(store.items.at(TenureKey(kShard)).value);
  }

  shard_tenure tenure{loop,   store,  log,
                      kShard, kFence, {.settle_time = std::chrono::hours(1)}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_tenure_suite, fixture)

BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  const tenure_record written{.fence = kFence, .settled = true};
  BOOST_TEST((DecodeTenure(EncodeTenure(written)) == written));
  BOOST_TEST(!DecodeTenure("settled").has_value());
}

BOOST_AUTO_TEST_CASE(AnOwnerThatReleasedTheShardHasEnded) {
  tenure_record last{.fence = kFence, .settled = true, .released = true};
  BOOST_TEST(AllEarlierOwnersEnded(last, 0));
  last.released = false;
  BOOST_TEST(!AllEarlierOwnersEnded(last, 0));
}

BOOST_AUTO_TEST_CASE(OnlyTheLastOwnerThatIsKnownToHaveEndedCounts) {
  const tenure_record last{.fence = kFence, .settled = true};
  BOOST_TEST(AllEarlierOwnersEnded(last, kFence));
  // Another owner recorded a tenure after that process.
  BOOST_TEST(!AllEarlierOwnersEnded(last, kFence - 1));
}

BOOST_AUTO_TEST_CASE(OwnersBeforeAnUnsettledOneMayStillAct) {
  const tenure_record last{.fence = kFence, .released = true};
  BOOST_TEST(!AllEarlierOwnersEnded(last, kFence));
  BOOST_TEST(!AllEarlierOwnersEnded(std::nullopt, kFence));
}

/// A hunted day on a grown site: a transaction of the journal got no answer in
/// time again and again, and all leases ended.
BOOST_AUTO_TEST_CASE(ATenureIsRenewedThoughTheJournalMakesNoProgress) {
  tenure.Begin(true, 0);
  store.AnswerNext();
  const base::time_point begun_at = tenure.RecordedAt();
  BOOST_REQUIRE(tenure.HasBegun());
  RunAnswered(std::chrono::seconds(5));
  BOOST_TEST((tenure.RecordedAt() >= begun_at + std::chrono::seconds(3)));
  BOOST_TEST(store.commits < 8);
}

/// A begin that the store applied late took the record of the settling back.
BOOST_AUTO_TEST_CASE(ABeginThatIsAppliedLateUnsettlesNothing) {
  tenure.Begin(false, 0);
  const metadata::transaction late = store.LoseNext();
  RunAnswered(std::chrono::seconds(2));
  tenure.Settle();
  store.AnswerNext();
  BOOST_REQUIRE(Stored().settled);
  BOOST_TEST(!store.Apply(late).applied);
  BOOST_TEST(Stored().settled);
}

/// Leases are counted from when a write was sent, so the answer of a later one
/// must not prolong them.
BOOST_AUTO_TEST_CASE(ARecordWhoseAnswerWasLostCountsFromItsFirstWrite) {
  const base::time_point first_sent_at = clock.Now();
  tenure.Begin(false, 0);
  BOOST_TEST(store.Apply(store.LoseNext()).applied);
  Pass(std::chrono::milliseconds(1200));
  store.AnswerNext();
  BOOST_TEST(tenure.HasBegun());
  BOOST_TEST((tenure.RecordedAt() == first_sent_at));
}

BOOST_AUTO_TEST_CASE(AnUnansweredRecordIsWrittenAgainAtTheNextRenewal) {
  tenure.Begin(true, 0);
  Pass(std::chrono::milliseconds(1100));
  BOOST_TEST(store.commits == 2);
  store.AnswerNext();
  store.AnswerNext();
  BOOST_TEST(tenure.HasBegun());
  BOOST_TEST(Stored().settled);
}

BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierOwnerThatWasNotSeenIsReplaced) {
  store.items[TenureKey(kShard)] = {
      TenureKey(kShard), EncodeTenure({.fence = kFence - 2}), kFence - 1};
  tenure.Begin(true, 0);
  RunAnswered(std::chrono::seconds(1));
  BOOST_TEST(tenure.HasBegun());
  BOOST_TEST(Stored().fence == kFence);
}

BOOST_AUTO_TEST_CASE(ARecordThatIsGoneIsWrittenAgain) {
  tenure.Begin(true, 0);
  RunAnswered(std::chrono::seconds(1));
  store.items.erase(TenureKey(kShard));
  RunAnswered(std::chrono::seconds(3));
  BOOST_TEST(Stored().settled);
}

BOOST_AUTO_TEST_CASE(NothingIsRecordedOnceAnotherInstanceOwnsTheShard) {
  tenure.Begin(true, 0);
  RunAnswered(std::chrono::seconds(1));
  store.items[OwnerKey(kShard)].changed_at = kFence + 1;
  RunAnswered(std::chrono::seconds(2));
  const int commits = store.commits;
  RunAnswered(std::chrono::seconds(5));
  BOOST_TEST(store.commits == commits);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
