#include "chivecrank/routing/slot_router.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::routing {
namespace {

platform::instance Upstream(const std::string& id) {
  platform::instance upstream;
  upstream.id = id;
  upstream.slots = 8;
  return upstream;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_router_suite)

BOOST_AUTO_TEST_CASE(SharesOfAllEntriesAddUpToTheSlots) {
  for (int i = 0; i < 50; ++i) {
    const platform::instance upstream = Upstream("w-" + std::to_string(i));
    std::int64_t total = 0;
    for (std::int64_t index = 0; index < 7; ++index)
      total += slot_router({index, 7}).ShareOf(upstream);
    BOOST_TEST(total == 8);
  }
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNothingNew) {
  slot_router router({0, 1});
  platform::instance upstream = Upstream("w-1");
  router.Update({upstream});
  BOOST_TEST(router.Acquire().has_value());
  upstream.state = platform::instance_state::kLeaving;
  router.Update({upstream});
  BOOST_TEST(!router.Acquire().has_value());
}

BOOST_AUTO_TEST_CASE(SlotsAreNotExceeded) {
  slot_router router({0, 1});
  router.Update({Upstream("w-1")});
  for (int i = 0; i < 8; ++i)
    BOOST_TEST(router.Acquire().has_value());
  BOOST_TEST(!router.Acquire().has_value());
  router.Release("w-1");
  BOOST_TEST(router.Acquire().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::routing
