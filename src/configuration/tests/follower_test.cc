#include "chivecrank/configuration/follower.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/repository.h"
#include "chivecrank/platform/memory_store.h"

namespace chivecrank::configuration {

BOOST_AUTO_TEST_SUITE(follower_suite)

BOOST_AUTO_TEST_CASE(NeverGoesBack) {
  base::manual_clock clock;
  platform::memory_store store(clock);
  follower following(store, clock, {});
  BOOST_TEST(!following.Current());
  snapshot newest;
  newest.revision = 2;
  const auto first = store.Put(platform::call_class::kConfiguration,
                               {kHeadKey, EncodeSnapshot(newest), 0, 0});
  BOOST_REQUIRE(following.Refresh().has_value());
  BOOST_TEST(following.Current()->revision == 2);
  snapshot stale;
  stale.revision = 1;
  BOOST_REQUIRE(store
                    .Put(platform::call_class::kConfiguration,
                         {kHeadKey, EncodeSnapshot(stale), first.value(), 0})
                    .has_value());
  BOOST_REQUIRE(following.Refresh().has_value());
  BOOST_TEST(following.Current()->revision == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
