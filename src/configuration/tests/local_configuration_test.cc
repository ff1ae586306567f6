#include "chivecrank/configuration/local_configuration.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/configuration/codec.h"

namespace chivecrank::configuration {
namespace {

snapshot SnapshotOfRevision(revision number) {
  snapshot created;
  created.revision = number;
  return created;
}

struct fixture {
  base::manual_clock clock;
  local_configuration local{clock};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(local_configuration_suite, fixture)

BOOST_AUTO_TEST_CASE(LowerRevisionNeverReplacesAHigherOne) {
  local.Activate();
  BOOST_TEST(local.ApplyIfNewer(SnapshotOfRevision(2)));
  BOOST_TEST(!local.ApplyIfNewer(SnapshotOfRevision(1)));
  BOOST_REQUIRE(
      local.ApplyText(EncodeSnapshot(SnapshotOfRevision(1))).has_value());
  BOOST_TEST(local.Current()->revision == 2);
}

BOOST_AUTO_TEST_CASE(NoRevisionIsActiveBeforeActivate) {
  local.ApplyIfNewer(SnapshotOfRevision(2));
  BOOST_TEST(!local.Current());
  BOOST_TEST(local.ActiveVersion() == 0);
  BOOST_TEST(local.Version() == 2);
  local.Activate();
  BOOST_TEST(local.ActiveVersion() == 2);
}

BOOST_AUTO_TEST_CASE(ConfirmationOfAnOlderRevisionIsIgnored) {
  local.ApplyIfNewer(SnapshotOfRevision(2));
  const base::time_point before = local.ConfirmedAt();
  clock.Advance(std::chrono::seconds(1));
  local.ConfirmRevision(1, clock.Now());
  BOOST_TEST((local.ConfirmedAt() == before));
  local.ConfirmRevision(2, clock.Now());
  BOOST_TEST((local.ConfirmedAt() == clock.Now()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
