#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

#include "chivecrank/emulator/hunt.h"
#include "hunted_days.h"

namespace chivecrank::emulator {
namespace {

constexpr std::size_t kFaultKinds = 22;
/// Eight of the first twenty kinds, and one of each of the two others.
constexpr std::size_t kMostFaults = 10;

/// All that a hunted day says: its report and its log.
std::string PlayedText(std::uint64_t seed) {
  day_description day = HuntedDay(seed);
  std::string text;
  day.system.on_log_line = [&text](std::string_view lines) { text += lines; };
  const day_report report = PlayDay(day, seed);
  return text + ReportAsJson(report) + ReportAsText(report);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(hunt)

BOOST_DATA_TEST_CASE(HuntedDaysKeepTheirPromises, HuntedSeeds(), seed) {
  CheckHuntedDay(seed, hunt_kind::kUsual, "");
}

BOOST_DATA_TEST_CASE(HuntedDaysWithDrainsKeepTheirPromises,
                     HuntedSeeds(),
                     seed) {
  CheckHuntedDay(seed, hunt_kind::kWithDrains, "--drains");
}

BOOST_AUTO_TEST_CASE(AHuntedDayIsTheSameAgainWithTheSameSeed) {
  std::vector<std::string> kept;
  for (std::uint64_t seed = 101; seed <= 106; ++seed) {
    // Something stays allocated between the plays, so that addresses differ.
    kept.push_back(PlayedText(seed));
    BOOST_TEST((PlayedText(seed) == kept.back()), "seed " << seed);
  }
  BOOST_TEST((kept.front() != kept.back()));
}

BOOST_AUTO_TEST_CASE(HuntedDaysMixFaultsOfAllKinds) {
  std::set<fault_kind> kinds;
  std::size_t in_series_on_owner = 0;
  std::size_t keys_taken = 0;
  for (std::uint64_t seed = 1; seed <= kHuntedDays; ++seed) {
    const day_description day = HuntedDay(seed);
    BOOST_TEST(day.faults.size() >= 3u);
    BOOST_TEST(day.faults.size() <= kMostFaults);
    BOOST_TEST(day.system.queues.size() == 3u);
    for (const day_fault& fault : day.faults) {
      kinds.insert(fault.kind);
      keys_taken += fault.takes_keys ? 1 : 0;
      const bool on_owner = fault.aim == fault_aim::kOwner;
      in_series_on_owner += on_owner && fault.times > 1 ? 1 : 0;
      BOOST_TEST((!on_owner || CanHitOwner(fault.kind)));
    }
  }
  BOOST_TEST(kinds.size() == kFaultKinds);
  BOOST_TEST(in_series_on_owner > 5u);
  BOOST_TEST(keys_taken > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
