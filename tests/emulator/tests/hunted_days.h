#ifndef CHIVECRANK_EMULATOR_TESTS_HUNTED_DAYS_H_
#define CHIVECRANK_EMULATOR_TESTS_HUNTED_DAYS_H_

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string_view>

#include "chivecrank/emulator/hunt.h"

namespace chivecrank::emulator {

constexpr std::uint64_t kHuntedDays = 60;

/// The seeds that tests hunt with, each a case of its own, numbered from 0. So
/// a day that breaks a promise for a known fault hides no other day.
inline auto HuntedSeeds() {
  return boost::unit_test::data::xrange<std::uint64_t>(1, kHuntedDays + 1);
}

/// Plays the day and checks its promises. `flag` selects its kind on the
/// command line.
inline void CheckHuntedDay(std::uint64_t seed,
                           hunt_kind kind,
                           std::string_view flag) {
  const day_description day = HuntedDay(seed, kind);
  const day_report report = PlayDay(day, seed);
  BOOST_TEST(report.KeepsPromises(),
             flag << " " << DescribeBrokenDay(day, report, seed));
}

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_TESTS_HUNTED_DAYS_H_
