#include "internal/move_benefit.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::submissions::internal {
namespace {

constexpr std::chrono::milliseconds kRunTime{2000};

}  // namespace

BOOST_AUTO_TEST_SUITE(move_benefit)

BOOST_AUTO_TEST_CASE(ATaskThatHasJustBegunMoves) {
  for (const bool saves : {false, true})
    for (const std::int32_t speed : {0, 25, 50})
      BOOST_TEST(IsWorthMoving({kRunTime, 5, speed, saves}));
}

BOOST_AUTO_TEST_CASE(ATaskThatIsNearlyDoneStays) {
  for (const bool saves : {false, true})
    for (const std::int32_t speed : {25, 50, 75})
      BOOST_TEST(!IsWorthMoving({kRunTime, 92, speed, saves}));
}

BOOST_AUTO_TEST_CASE(ATaskThatWouldLoseItsProgressStaysSooner) {
  BOOST_TEST(IsWorthMoving({kRunTime, 55, 50, true}));
  BOOST_TEST(!IsWorthMoving({kRunTime, 55, 50, false}));
}

BOOST_AUTO_TEST_CASE(ALongTaskThatSavesItsProgressLeavesAHaltedWorker) {
  const std::chrono::milliseconds long_run_time(20'000);
  BOOST_TEST(IsWorthMoving({long_run_time, 80, 0, true}));
  BOOST_TEST(!IsWorthMoving({long_run_time, 80, 0, false}));
}

BOOST_AUTO_TEST_CASE(ATaskAtFullSpeedStays) {
  BOOST_TEST(!IsWorthMoving({kRunTime, 10, 100, true}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
