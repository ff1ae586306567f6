#include "chivecrank/configuration/held_configuration.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/configuration/codec.h"

namespace chivecrank::configuration {
namespace {

snapshot Numbered(revision number) {
  snapshot made;
  made.revision = number;
  return made;
}

struct fixture {
  base::manual_clock clock;
  held_configuration held{clock};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(held_configuration_suite, fixture)

BOOST_AUTO_TEST_CASE(NeverGoesBackWhereverItComesFrom) {
  held.Admit();
  BOOST_TEST(held.Offer(Numbered(2)));
  BOOST_TEST(!held.Offer(Numbered(1)));
  BOOST_REQUIRE(held.ApplyText(EncodeSnapshot(Numbered(1))).has_value());
  BOOST_TEST(held.Current()->revision == 2);
}

BOOST_AUTO_TEST_CASE(NothingIsInForceBeforeAdmit) {
  held.Offer(Numbered(2));
  BOOST_TEST(!held.Current());
  BOOST_TEST(held.ActiveVersion() == 0);
  BOOST_TEST(held.Version() == 2);
  held.Admit();
  BOOST_TEST(held.ActiveVersion() == 2);
}

BOOST_AUTO_TEST_CASE(ConfirmationOfAnOlderRevisionDoesNotCount) {
  held.Offer(Numbered(2));
  const base::time_point before = held.ConfirmedAt();
  clock.Advance(std::chrono::seconds(1));
  held.Confirm(1, clock.Now());
  BOOST_TEST((held.ConfirmedAt() == before));
  held.Confirm(2, clock.Now());
  BOOST_TEST((held.ConfirmedAt() == clock.Now()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
