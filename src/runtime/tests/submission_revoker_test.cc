#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "chivecrank/runtime/keys.h"
#include "chivecrank/runtime/submission_revoker.h"
#include "tests/scripted_store_fixture.h"

namespace chivecrank::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kPatience{3};
/// As long as the records of submissions that ended.
constexpr seconds kMinTimeRevoked{180};
constexpr char kId[] = "5c0e7a21d94b36f8";
constexpr int kFlood = 5000;

struct fixture : scripted_store_fixture {
  void Revoke(const std::string& id) {
    revoker.Revoke(
        id, loop.Now() + kPatience,
        [this, id](revoke_outcome outcome) { outcomes[id] = outcome; });
  }

  /// Revokes `id` and answers all that this sends.
  void RevokeAnswered(const std::string& id) {
    Revoke(id);
    Pass(settings.writer.min_interval);
    AnswerAll();
  }

  bool Ended(const std::string& id, revoke_outcome outcome) const {
    const auto found = outcomes.find(id);
    return found != outcomes.end() && found->second == outcome;
  }

  revoker_settings settings;
  submission_revoker revoker{loop, store, log, settings};
  std::map<std::string, revoke_outcome> outcomes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(submission_revoker_suite, fixture)

/// Instances keep copies of the shared keys; a flood must not fill them.
BOOST_AUTO_TEST_CASE(ARevocationIsNoSharedKey) {
  RevokeAnswered(kId);
  BOOST_TEST(Ended(kId, revoke_outcome::kRevoked));
  BOOST_REQUIRE(store.items.contains(RevocationKey(kId)));
  BOOST_TEST(!RevocationKey(kId).starts_with(kSharedPrefix));
}

BOOST_AUTO_TEST_CASE(AStoredSubmissionIsNotRevoked) {
  const std::string key = ToString({key_kind::kSubmission, kId});
  store.items[key] = {key, "", 7};
  RevokeAnswered(kId);
  BOOST_TEST(Ended(kId, revoke_outcome::kStored));
  BOOST_TEST(!store.items.contains(RevocationKey(kId)));
}

/// The store deletes a revocation, not before an ended submission's records
/// would be deleted, whichever instances are still there.
BOOST_AUTO_TEST_CASE(ARevocationLastsAsLongAsItsLease) {
  const auto first_lease = store.last_lease + 1;
  RevokeAnswered("first");
  BOOST_TEST(store.items.at(RevocationKey("first")).lease == first_lease);
  // The last moment at which the lease takes another one.
  Pass(settings.lease_term - kMinTimeRevoked -
       3 * settings.writer.min_interval);
  RevokeAnswered("second");
  BOOST_TEST(store.items.at(RevocationKey("second")).lease == first_lease);
  Pass(seconds(1));
  RevokeAnswered("third");
  BOOST_TEST(store.items.at(RevocationKey("third")).lease == first_lease + 1);
  store.EndLease(first_lease);
  BOOST_TEST(store.items.size() == 1U);
}

/// The second DELETE promises as much as the first.
BOOST_AUTO_TEST_CASE(ASecondRevocationLastsAsLongAsTheFirst) {
  RevokeAnswered(kId);
  const auto first_lease = store.last_lease;
  Pass(kMinTimeRevoked);
  RevokeAnswered(kId);
  store.EndLease(first_lease);
  BOOST_TEST(store.items.contains(RevocationKey(kId)));
}

BOOST_AUTO_TEST_CASE(ALeaseThatEndedEarlyIsReplaced) {
  RevokeAnswered("first");
  store.EndLease(store.last_lease);
  RevokeAnswered(kId);
  Pass(settings.retry);
  AnswerAll();
  BOOST_TEST(Ended(kId, revoke_outcome::kRevoked));
  BOOST_TEST(store.items.at(RevocationKey(kId)).lease == store.last_lease);
}

BOOST_AUTO_TEST_CASE(WithoutALeaseNothingIsRevoked) {
  store.grant_error = base::error{base::error_kind::kUnavailable,
                                  "the store rejects calls", "try later"};
  RevokeAnswered(kId);
  BOOST_TEST(Ended(kId, revoke_outcome::kUnavailable));
  BOOST_TEST(store.commits == 0);
}

BOOST_AUTO_TEST_CASE(ALeaseWithoutAnAnswerIsRequestedAgain) {
  store.grant_error = base::error{base::error_kind::kOutcomeUnknown,
                                  "no answer in time", "request another one"};
  RevokeAnswered(kId);
  BOOST_TEST(outcomes.empty());
  store.grant_error.reset();
  Pass(settings.retry);
  AnswerAll();
  BOOST_TEST(Ended(kId, revoke_outcome::kRevoked));
}

/// A flood of unknown identifiers takes a bounded part of the store's write
/// rate, and what can't be revoked in time is refused at once.
BOOST_AUTO_TEST_CASE(AFloodIsPaced) {
  for (int i = 0; i < kFlood; ++i)
    Revoke(std::to_string(i));
  const auto refused = outcomes.size();
  BOOST_TEST(refused > kFlood / 2U);
  for (const auto& [id, outcome] : outcomes)
    BOOST_TEST((outcome == revoke_outcome::kUnavailable));
  store.AnswerCalls();
  const milliseconds step = settings.writer.min_interval / 4;
  for (milliseconds time{0}; time < kPatience; time += step) {
    while (store.HasSent())
      store.AnswerNext();
    Pass(step);
  }
  BOOST_TEST(store.commits <= kPatience / settings.writer.min_interval + 1);
  // All the others were revoked in time.
  BOOST_TEST(store.items.size() + refused == static_cast<std::size_t>(kFlood));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
