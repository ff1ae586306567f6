#include <boost/test/unit_test.hpp>

#include <cstdint>

#include "chivecrank/emulator/hunt.h"
#include "hunted_days.h"

namespace chivecrank::emulator {

BOOST_AUTO_TEST_SUITE(losses)

BOOST_DATA_TEST_CASE(HuntedDaysWithLossesKeepTheirPromises,
                     HuntedSeeds(),
                     seed) {
  CheckHuntedDay(seed, hunt_kind::kWithLosses, "--losses");
}

BOOST_AUTO_TEST_CASE(DeparturesOnlyAddToAHuntedDay) {
  for (std::uint64_t seed = 1; seed <= kHuntedDays; ++seed) {
    const day_description usual = HuntedDay(seed);
    for (const hunt_kind kind :
         {hunt_kind::kWithLosses, hunt_kind::kWithLeavers}) {
      const day_description day = HuntedDay(seed, kind);
      BOOST_REQUIRE(day.faults.size() > usual.faults.size());
      BOOST_TEST(day.system.workers == usual.system.workers);
      for (std::size_t i = 0; i < usual.faults.size(); ++i) {
        BOOST_TEST((day.faults[i].kind == usual.faults[i].kind));
        BOOST_TEST((day.faults[i].at == usual.faults[i].at));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
