#include "chivecrank/idempotency/key_ledger.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kRetention{10'000};
constexpr std::uint64_t kHash = 7;
const base::time_point kStart{};

arrival First(const std::string& token) {
  return {"hotel/k", kHash, token, true};
}

arrival Repeat(const std::string& token) {
  return {"hotel/k", kHash, token, false};
}

log_entry Entry(log_entry_kind kind, const std::string& token) {
  return {kind, "hotel/k", kHash, token, {200, {}, "whole"}};
}

struct fixture {
  fixture() { ledger.Load({}, true, kStart); }

  arrival_action Decide(const arrival& request) {
    return ledger.Decide(request, kStart);
  }

  key_ledger ledger{kRetention};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(key_ledger_suite, fixture)

BOOST_AUTO_TEST_CASE(RepeatWaitsForFirstAttemptThenGetsItsAnswer) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  BOOST_TEST((Decide(Repeat("b")) == arrival_action::kWait));
  BOOST_TEST(ledger.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart));
  BOOST_TEST((Decide(Repeat("c")) == arrival_action::kReplay));
  BOOST_TEST(ledger.AnswerOf("hotel/k")->body == "whole");
  arrival other = Repeat("d");
  other.fingerprint = kHash + 1;
  BOOST_TEST((Decide(other) == arrival_action::kMismatch));
}

BOOST_AUTO_TEST_CASE(RepeatIsSentOnlyAfterItsIntentIsRecorded) {
  BOOST_TEST((Decide(Repeat("a")) == arrival_action::kRecord));
  BOOST_TEST(!ledger.MaySend(Repeat("a"), true, kStart));
  ledger.ConfirmIntent(Entry(log_entry_kind::kIntent, "a"));
  BOOST_TEST(ledger.MaySend(Repeat("a"), false, kStart));
  BOOST_TEST(!ledger.MaySend(Repeat("b"), false, kStart));
}

BOOST_AUTO_TEST_CASE(FirstAttemptMayBeSentUnrecordedOnlyWithinRetentionTime) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  BOOST_TEST(!ledger.MaySend(First("a"), false, kStart));
  BOOST_TEST(ledger.MaySend(First("a"), true, kStart + kRetention / 2));
  BOOST_TEST(!ledger.MaySend(First("a"), true, kStart + kRetention));
}

BOOST_AUTO_TEST_CASE(RepeatsAreUnknownForRetentionTimeAfterUncleanOwner) {
  key_ledger next(kRetention);
  next.Load({}, false, kStart);
  BOOST_TEST((next.Decide(Repeat("a"), kStart) == arrival_action::kUnknown));
  BOOST_TEST((next.Decide(Repeat("a"), kStart + kRetention) ==
              arrival_action::kRecord));
  key_ledger other(kRetention);
  other.Load({}, false, kStart);
  BOOST_TEST((other.Decide(First("a"), kStart) == arrival_action::kRecord));
}

BOOST_AUTO_TEST_CASE(IntentsWithoutOutcomeAreUnknownAfterUncleanOwner) {
  key_ledger next(kRetention);
  next.Load({Entry(log_entry_kind::kIntent, "a")}, false, kStart);
  BOOST_TEST((next.Decide(First("b"), kStart) == arrival_action::kUnknown));
  BOOST_TEST(!next.MaySend(First("a"), true, kStart));
  // The entry that sent the request for the previous owner may still report its
  // outcome.
  BOOST_TEST(next.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart));
  BOOST_TEST((next.Decide(Repeat("c"), kStart) == arrival_action::kReplay));
}

BOOST_AUTO_TEST_CASE(RequestsStayInFlightAfterOwnerClosedItsLog) {
  key_ledger next(kRetention);
  next.Load({Entry(log_entry_kind::kIntent, "a")}, true, kStart);
  BOOST_TEST(next.IntentsInFlight().size() == 1);
  BOOST_TEST((next.Decide(Repeat("b"), kStart) == arrival_action::kWait));
  BOOST_TEST((next.Decide(First("a"), kStart) == arrival_action::kAdmitted));
}

BOOST_AUTO_TEST_CASE(OnlyTheAdmittedArrivalCanWithdrawItsKey) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  BOOST_TEST(ledger.Finish(Entry(log_entry_kind::kWithdrawn, "a"), kStart));
  BOOST_TEST((Decide(First("b")) == arrival_action::kRecord));
  BOOST_TEST(!ledger.Finish(Entry(log_entry_kind::kWithdrawn, "a"), kStart));
  ledger.ConfirmIntent(Entry(log_entry_kind::kIntent, "a"));
  BOOST_TEST(!ledger.MaySend(First("b"), false, kStart));
  BOOST_TEST(ledger.Finish(Entry(log_entry_kind::kUnknown, "b"), kStart));
  BOOST_TEST(!ledger.Finish(Entry(log_entry_kind::kWithdrawn, "b"), kStart));
}

BOOST_AUTO_TEST_CASE(KeysExpireOnlyAfterRetentionTimeSinceTheirOutcome) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  ledger.Expire(kStart + 2 * kRetention);
  BOOST_TEST(ledger.size() == 1);
  ledger.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart);
  ledger.Expire(kStart + kRetention);
  BOOST_TEST(ledger.size() == 1);
  ledger.Expire(kStart + 2 * kRetention);
  BOOST_TEST(ledger.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::idempotency
