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

  arrival_action Arrive(const arrival& request) {
    return ledger.Arrive(request, kStart);
  }

  key_ledger ledger{kRetention};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(key_ledger_suite, fixture)

BOOST_AUTO_TEST_CASE(RepeatsMeetTheFirst) {
  BOOST_TEST((Arrive(First("a")) == arrival_action::kRecord));
  BOOST_TEST((Arrive(Repeat("b")) == arrival_action::kWait));
  BOOST_TEST(ledger.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart));
  BOOST_TEST((Arrive(Repeat("c")) == arrival_action::kReplay));
  BOOST_TEST(ledger.AnswerOf("hotel/k")->body == "whole");
  arrival other = Repeat("d");
  other.fingerprint = kHash + 1;
  BOOST_TEST((Arrive(other) == arrival_action::kMismatch));
}

BOOST_AUTO_TEST_CASE(SendsOnlyWhatIsRecorded) {
  BOOST_TEST((Arrive(Repeat("a")) == arrival_action::kRecord));
  BOOST_TEST(!ledger.MaySend(Repeat("a"), true, kStart));
  ledger.ConfirmIntent(Entry(log_entry_kind::kIntent, "a"));
  BOOST_TEST(ledger.MaySend(Repeat("a"), false, kStart));
  BOOST_TEST(!ledger.MaySend(Repeat("b"), false, kStart));
}

BOOST_AUTO_TEST_CASE(FirstsGoWithoutARecordWhileALaterOwnerCountsWithThem) {
  BOOST_TEST((Arrive(First("a")) == arrival_action::kRecord));
  BOOST_TEST(!ledger.MaySend(First("a"), false, kStart));
  BOOST_TEST(ledger.MaySend(First("a"), true, kStart + kRetention / 2));
  BOOST_TEST(!ledger.MaySend(First("a"), true, kStart + kRetention));
}

BOOST_AUTO_TEST_CASE(RepeatsAfterAnUncleanOwnerAreUnknown) {
  key_ledger next(kRetention);
  next.Load({}, false, kStart);
  BOOST_TEST((next.Arrive(Repeat("a"), kStart) == arrival_action::kUnknown));
  BOOST_TEST((next.Arrive(Repeat("a"), kStart + kRetention) ==
              arrival_action::kRecord));
  key_ledger other(kRetention);
  other.Load({}, false, kStart);
  BOOST_TEST((other.Arrive(First("a"), kStart) == arrival_action::kRecord));
}

BOOST_AUTO_TEST_CASE(IntentsWithoutAnEndAreUnknownToTheNextOwner) {
  key_ledger next(kRetention);
  next.Load({Entry(log_entry_kind::kIntent, "a")}, false, kStart);
  BOOST_TEST((next.Arrive(First("b"), kStart) == arrival_action::kUnknown));
  BOOST_TEST(!next.MaySend(First("a"), true, kStart));
  // The former owner's entry may still tell the end.
  BOOST_TEST(next.Finish(Entry(log_entry_kind::kCompleted, "a"), kStart));
  BOOST_TEST((next.Arrive(Repeat("c"), kStart) == arrival_action::kReplay));
}

BOOST_AUTO_TEST_CASE(AClosedLogLeavesRequestsInFlight) {
  key_ledger next(kRetention);
  next.Load({Entry(log_entry_kind::kIntent, "a")}, true, kStart);
  BOOST_TEST(next.InFlight().size() == 1);
  BOOST_TEST((next.Arrive(Repeat("b"), kStart) == arrival_action::kWait));
  BOOST_TEST((next.Arrive(First("a"), kStart) == arrival_action::kAdmitted));
}

BOOST_AUTO_TEST_CASE(OnlyTheAdmittedArrivalWithdraws) {
  BOOST_TEST((Arrive(First("a")) == arrival_action::kRecord));
  BOOST_TEST(ledger.Finish(Entry(log_entry_kind::kWithdrawn, "a"), kStart));
  BOOST_TEST((Arrive(First("b")) == arrival_action::kRecord));
  BOOST_TEST(!ledger.Finish(Entry(log_entry_kind::kWithdrawn, "a"), kStart));
  ledger.ConfirmIntent(Entry(log_entry_kind::kIntent, "a"));
  BOOST_TEST(!ledger.MaySend(First("b"), false, kStart));
  BOOST_TEST(ledger.Finish(Entry(log_entry_kind::kUnknown, "b"), kStart));
  BOOST_TEST(!ledger.Finish(Entry(log_entry_kind::kWithdrawn, "b"), kStart));
}

BOOST_AUTO_TEST_CASE(ForgetsOnlyWhatEndedLongAgo) {
  BOOST_TEST((Arrive(First("a")) == arrival_action::kRecord));
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
