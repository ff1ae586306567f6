#include "chivecrank/idempotency/key_table.h"

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
  fixture() { table.Load({}, true, kStart); }

  arrival_action Decide(const arrival& request) {
    return table.Decide(request, kStart);
  }

  key_table table{kRetention};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(key_table_suite, fixture)

BOOST_AUTO_TEST_CASE(RepeatWaitsForFirstAttemptThenGetsItsAnswer) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  BOOST_TEST((Decide(Repeat("b")) == arrival_action::kWait));
  BOOST_TEST(table.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart));
  BOOST_TEST((Decide(Repeat("c")) == arrival_action::kReplay));
  BOOST_TEST(table.AnswerOf("hotel/k")->body == "whole");
  arrival other = Repeat("d");
  other.fingerprint = kHash + 1;
  BOOST_TEST((Decide(other) == arrival_action::kMismatch));
}

BOOST_AUTO_TEST_CASE(RepeatIsSentOnlyAfterItsIntentIsRecorded) {
  BOOST_TEST((Decide(Repeat("a")) == arrival_action::kRecord));
  BOOST_TEST(!table.MaySend(Repeat("a"), true, kStart));
  table.ConfirmIntent(Entry(log_entry_kind::kIntent, "a"));
  BOOST_TEST(table.MaySend(Repeat("a"), false, kStart));
  BOOST_TEST(!table.MaySend(Repeat("b"), false, kStart));
}

BOOST_AUTO_TEST_CASE(FirstAttemptMayBeSentUnrecordedOnlyWithinRetentionTime) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  BOOST_TEST(!table.MaySend(First("a"), false, kStart));
  BOOST_TEST(table.MaySend(First("a"), true, kStart + kRetention / 2));
  BOOST_TEST(!table.MaySend(First("a"), true, kStart + kRetention));
}

BOOST_AUTO_TEST_CASE(RepeatsAreUnknownForRetentionTimeAfterUncleanOwner) {
  key_table next(kRetention);
  next.Load({}, false, kStart);
  BOOST_TEST((next.Decide(Repeat("a"), kStart) == arrival_action::kUnknown));
  BOOST_TEST((next.Decide(Repeat("a"), kStart + kRetention) ==
              arrival_action::kRecord));
  key_table other(kRetention);
  other.Load({}, false, kStart);
  BOOST_TEST((other.Decide(First("a"), kStart) == arrival_action::kRecord));
}

BOOST_AUTO_TEST_CASE(IntentsWithoutOutcomeAreUnknownAfterUncleanOwner) {
  key_table next(kRetention);
  next.Load({Entry(log_entry_kind::kIntent, "a")}, false, kStart);
  BOOST_TEST((next.Decide(First("b"), kStart) == arrival_action::kUnknown));
  BOOST_TEST(!next.MaySend(First("a"), true, kStart));
  // The entry that sent the request for the previous owner may still report its
  // outcome.
  BOOST_TEST(next.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart));
  BOOST_TEST((next.Decide(Repeat("c"), kStart) == arrival_action::kReplay));
}

BOOST_AUTO_TEST_CASE(RequestsStayInFlightAfterOwnerClosedItsLog) {
  key_table next(kRetention);
  next.Load({Entry(log_entry_kind::kIntent, "a")}, true, kStart);
  BOOST_TEST(next.IntentsInFlight().size() == 1);
  BOOST_TEST((next.Decide(Repeat("b"), kStart) == arrival_action::kWait));
  BOOST_TEST((next.Decide(First("a"), kStart) == arrival_action::kAdmitted));
}

BOOST_AUTO_TEST_CASE(OnlyTheAdmittedArrivalCanWithdrawItsKey) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  BOOST_TEST(table.Finish(Entry(log_entry_kind::kWithdrawn, "a"), kStart));
  BOOST_TEST((Decide(First("b")) == arrival_action::kRecord));
  BOOST_TEST(!table.Finish(Entry(log_entry_kind::kWithdrawn, "a"), kStart));
  table.ConfirmIntent(Entry(log_entry_kind::kIntent, "a"));
  BOOST_TEST(!table.MaySend(First("b"), false, kStart));
  BOOST_TEST(table.Finish(Entry(log_entry_kind::kUnknown, "b"), kStart));
  BOOST_TEST(!table.Finish(Entry(log_entry_kind::kWithdrawn, "b"), kStart));
}

BOOST_AUTO_TEST_CASE(KeysExpireOnlyAfterRetentionTimeSinceTheirOutcome) {
  BOOST_TEST((Decide(First("a")) == arrival_action::kRecord));
  table.Expire(kStart + 2 * kRetention);
  BOOST_TEST(table.size() == 1);
  table.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart);
  table.Expire(kStart + kRetention);
  BOOST_TEST(table.size() == 1);
  table.Expire(kStart + 2 * kRetention);
  BOOST_TEST(table.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::idempotency
