#include "chivecrank/protocol/worker_lease.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/protocol/ownership_lease.h"
#include "chivecrank/protocol/worker_fence.h"

namespace chivecrank::protocol {
namespace {

using std::chrono::milliseconds;

struct fixture {
  lease_terms terms;
  base::time_point start{milliseconds(1'000'000)};
  worker_fence fence{"boot-1"};
  worker_lease lease{1, terms, start};

  base::time_point At(int elapsed_ms) const {
    return start + milliseconds(elapsed_ms);
  }

  sync_outcome Sync(int at_ms) {
    const sync_sequence order = lease.NextSync();
    const sync_outcome outcome = fence.OnSync(order, At(at_ms), terms.term);
    lease.OnAnswer(order.number, fence.incarnation(), At(at_ms));
    return outcome;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_lease_suite, fixture)

BOOST_AUTO_TEST_CASE(SecondSyncRenewsTheLease) {
  BOOST_TEST((Sync(0) == sync_outcome::kNotRenewed));
  BOOST_TEST((Sync(100) == sync_outcome::kRenewed));
}

BOOST_AUTO_TEST_CASE(DelayedSyncDoesNotExtendTheLeaseBeyondTheOwnersExpiry) {
  Sync(0);
  const sync_sequence delayed = lease.NextSync();
  fence.OnSync(delayed, At(5900), terms.term);
  BOOST_TEST(!lease.HasExpired(fence.lease_expiry()));
  BOOST_TEST(fence.IsLeaseExpired(At(6000)));
  BOOST_TEST(lease.HasExpired(At(7001)));
}

BOOST_AUTO_TEST_CASE(SyncThatArrivesAfterALaterOneIsRejected) {
  Sync(0);
  const sync_sequence overtaken = lease.NextSync();
  Sync(100);
  BOOST_TEST(
      (fence.OnSync(overtaken, At(200), terms.term) == sync_outcome::kStale));
}

BOOST_AUTO_TEST_CASE(SyncForAnEarlierIncarnationDoesNotRenewTheLease) {
  Sync(0);
  worker_fence restarted("boot-2");
  BOOST_TEST((restarted.OnSync(lease.NextSync(), At(100), terms.term) ==
              sync_outcome::kNotRenewed));
  BOOST_TEST(restarted.IsLeaseExpired(At(100)));
}

BOOST_AUTO_TEST_CASE(SyncOfAFormerOwnerIsFenced) {
  Sync(0);
  worker_lease next(2, terms, At(100));
  fence.OnSync(next.NextSync(), At(100), terms.term);
  BOOST_TEST((Sync(200) == sync_outcome::kFenced));
}

BOOST_AUTO_TEST_CASE(AuthorityEndsInStepsWhenTheLeaseExpires) {
  ownership_lease ownership(terms.outage_grace);
  BOOST_TEST((ownership.GetAuthority(start) == authority::kNone));
  ownership.Extend(At(1000));
  BOOST_TEST((ownership.GetAuthority(At(999)) == authority::kFull));
  BOOST_TEST((ownership.GetAuthority(At(1000)) == authority::kRenewOnly));
  BOOST_TEST((ownership.GetAuthority(At(1000) + terms.outage_grace) ==
              authority::kNone));
  ownership.Extend(At(5000));
  ownership.MarkExpired();
  BOOST_TEST((ownership.GetAuthority(At(2000)) == authority::kRenewOnly));
  ownership.Release();
  BOOST_TEST((ownership.GetAuthority(At(2000)) == authority::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::protocol
