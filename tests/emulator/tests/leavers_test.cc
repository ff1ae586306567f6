#include <boost/test/unit_test.hpp>

#include <cstdint>

#include "chivecrank/emulator/hunt.h"
#include "hunted_days.h"

namespace chivecrank::emulator {

BOOST_AUTO_TEST_SUITE(leavers)

BOOST_DATA_TEST_CASE(HuntedDaysWithLeaversKeepTheirPromises,
                     HuntedSeeds(),
                     seed) {
  CheckHuntedDay(seed, hunt_kind::kWithLeavers, "--leavers");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
