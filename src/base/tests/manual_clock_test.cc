#include "chivecrank/base/manual_clock.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace chivecrank::base {

BOOST_AUTO_TEST_SUITE(manual_clock_suite)

BOOST_AUTO_TEST_CASE(SleepingThreadWakesWhenClockReachesItsTime) {
  manual_clock clock;
  const time_point wake = clock.Now() + std::chrono::seconds(5);
  std::thread sleeper([&] { clock.SleepUntil(wake); });
  clock.Advance(std::chrono::seconds(5));
  sleeper.join();
  BOOST_TEST((clock.Now() == wake));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::base
