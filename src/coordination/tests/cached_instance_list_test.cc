#include "chivecrank/coordination/cached_instance_list.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::coordination {
namespace {

struct counting_list final : instance_list {
  int calls = 0;
  base::result<std::vector<instance>> List() override {
    ++calls;
    return std::vector<instance>(1);
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(CachedListCallsThePlatformOncePerMaxAge) {
  base::manual_clock clock;
  counting_list source;
  cached_instance_list cached(source, clock, std::chrono::seconds(1));
  for (int i = 0; i < 5; ++i)
    BOOST_TEST(cached.List().value().size() == 1);
  BOOST_TEST(source.calls == 1);
  clock.Advance(std::chrono::seconds(1));
  BOOST_REQUIRE(cached.List().has_value());
  BOOST_TEST(source.calls == 2);
}

}  // namespace chivecrank::coordination
