#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

#include "chivecrank/emulator/day.h"
#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 5;

/// A day on which a fault hits the owners; tells how often the shard was won.
struct owner_faults_fixture {
  owner_faults_fixture() {
    day.system.instances = 7;
    day.system.queues = {UrgentLoad()};
    fault.at = milliseconds(2000);
    fault.lasts = milliseconds(3500);
    fault.aim = fault_aim::kOwner;
  }

  std::size_t TimesWon(std::uint64_t seed) {
    std::size_t times = 0;
    day.faults = {fault};
    day.system.on_log_line = [&times](std::string_view lines) {
      constexpr std::string_view won = "\"event\":\"shard_won\"";
      for (auto at = lines.find(won); at != std::string_view::npos;
           at = lines.find(won, at + 1))
        ++times;
    };
    const day_report report = PlayDay(day, seed);
    BOOST_TEST(report.KeepsPromises(), ReportAsText(report));
    return times;
  }

  day_description day;
  day_fault fault;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(owner_faults, owner_faults_fixture)

BOOST_AUTO_TEST_CASE(ASeriesHitsTheOwnerOfEachMoment) {
  fault.times = 4;
  fault.every = milliseconds(4500);
  for (const fault_kind kind :
       {fault_kind::kKillInstances, fault_kind::kStopInstances}) {
    fault.kind = kind;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      BOOST_TEST_INFO_SCOPE(NameOf(kind) << " with seed " << seed);
      BOOST_TEST(TimesWon(seed) == 5u);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnotherInstanceOwnsOnceTheKeysAreTakenAway) {
  fault.kind = fault_kind::kIsolateInstances;
  fault.lasts = milliseconds(1000);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_INFO_SCOPE("seed " << seed);
    fault.takes_keys = false;
    BOOST_TEST(TimesWon(seed) == 1u);
    fault.takes_keys = true;
    BOOST_TEST(TimesWon(seed) == 2u);
  }
}

BOOST_AUTO_TEST_CASE(FurtherInstancesAreHitWithTheOwner) {
  fault.kind = fault_kind::kKillInstances;
  fault.count = day.system.instances;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_INFO_SCOPE("seed " << seed);
    BOOST_TEST(TimesWon(seed) == 2u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(owner_stops, day_fixture)

BOOST_AUTO_TEST_CASE(AnOwnerThatIsStoppedTwiceTakesNoOthersKeysAway) {
  const std::size_t owner = Day().OwnerOf(0);
  day->Run(milliseconds(2000), true);
  day->StopInstance(owner);
  day->StopInstance(owner);
  day->Run(milliseconds(4000), true);
  BOOST_TEST(day->OwnerOf(0) != settings.instances);
  day->StartInstance(owner);
  day->Run(milliseconds(2000), true);
  CheckPromises();
  BOOST_TEST(day->Total().completed > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
