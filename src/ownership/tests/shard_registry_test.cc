#include "chivecrank/ownership/shard_registry.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/ownership/rendezvous.h"
#include "chivecrank/ownership/session.h"

namespace chivecrank::ownership {
namespace {

struct fixture {
  base::manual_clock clock;
  coordination::memory_store store{clock};
  session_settings settings;
  session first{store, clock, settings, "one", "i-1"};
  session second{store, clock, settings, "two", "i-2"};
  shard_registry registry{store};

  base::result<std::uint64_t> Claim(const session& claimant) {
    return registry.Claim(
        {"s", 0, "i", claimant.holder_key(), {"127.0.0.1", 1}});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_registry_suite, fixture)

BOOST_AUTO_TEST_CASE(ShardCanBeClaimedOnlyAfterTheHoldersLeaseExpired) {
  BOOST_REQUIRE(first.Renew().has_value());
  BOOST_REQUIRE(second.Renew().has_value());
  BOOST_TEST(Claim(first).value() == 1);
  BOOST_TEST((Claim(second).error().kind == base::error_kind::kConflict));
  clock.Advance(settings.term);
  BOOST_TEST(!first.IsValid());
  BOOST_TEST(!second.Renew().has_value());
  BOOST_REQUIRE(second.Renew().has_value());
  BOOST_TEST(Claim(second).value() == 2);
}

BOOST_AUTO_TEST_CASE(SessionIsInvalidOneClockMarginBeforeTheLeaseExpires) {
  BOOST_REQUIRE(first.Renew().has_value());
  clock.Advance(settings.term - settings.clock_margin);
  BOOST_TEST(!first.IsValid());
  BOOST_TEST(first.Renew().has_value());
  BOOST_TEST(first.IsValid());
}

BOOST_AUTO_TEST_CASE(ShardOfAnEndedSessionCanBeClaimedAtOnce) {
  BOOST_REQUIRE(first.Renew().has_value());
  BOOST_REQUIRE(Claim(first).has_value());
  first.End();
  BOOST_REQUIRE(second.Renew().has_value());
  BOOST_TEST(Claim(second).value() == 2);
}

BOOST_AUTO_TEST_CASE(RemovedNodeMovesOnlyItsOwnKeys) {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> fewer = {"a", "b", "c"};
  for (int i = 0; i < 100; ++i) {
    const std::string key = std::to_string(i);
    const std::string before = ProposeNode(key, all);
    if (before != "d")
      BOOST_TEST(ProposeNode(key, fewer) == before);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::ownership
