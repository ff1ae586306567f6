#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <set>
#include <string_view>

#include "chivecrank/emulator/hunt.h"

namespace chivecrank::emulator {
namespace {

constexpr std::uint64_t kHuntedDays = 60;
/// Seeds of days that break a promise for a fault which KNOWN-RED.txt names. A
/// test of their own plays them.
const std::set<std::uint64_t> kOpenWithLosses = {53};
const std::set<std::uint64_t> kOpenWithLeavers = {2,  15, 34, 36, 38,
                                                  39, 46, 51, 60};

void CheckDay(std::uint64_t seed, hunt_kind kind, std::string_view flag) {
  const day_description day = HuntedDay(seed, kind);
  const day_report report = PlayDay(day, seed);
  BOOST_TEST(report.KeepsPromises(),
             flag << " " << DescribeBrokenDay(day, report, seed));
}

void CheckOtherDays(const std::set<std::uint64_t>& open,
                    hunt_kind kind,
                    std::string_view flag) {
  for (std::uint64_t seed = 1; seed <= kHuntedDays; ++seed)
    if (!open.contains(seed))
      CheckDay(seed, kind, flag);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(departures)

BOOST_AUTO_TEST_CASE(HuntedDaysWithLossesKeepTheirPromises) {
  CheckOtherDays(kOpenWithLosses, hunt_kind::kWithLosses, "--losses");
}

BOOST_AUTO_TEST_CASE(HuntedDaysWithLeaversKeepTheirPromises) {
  CheckOtherDays(kOpenWithLeavers, hunt_kind::kWithLeavers, "--leavers");
}

BOOST_AUTO_TEST_CASE(OpenDaysWithLossesKeepTheirPromises) {
  for (const std::uint64_t seed : kOpenWithLosses)
    CheckDay(seed, hunt_kind::kWithLosses, "--losses");
}

BOOST_AUTO_TEST_CASE(OpenDaysWithLeaversKeepTheirPromises) {
  for (const std::uint64_t seed : kOpenWithLeavers)
    CheckDay(seed, hunt_kind::kWithLeavers, "--leavers");
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
