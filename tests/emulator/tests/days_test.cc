#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include "chivecrank/emulator/day.h"

namespace chivecrank::emulator {
namespace {

constexpr std::uint64_t kSeeds = 3;
const std::filesystem::path kDays =
    std::filesystem::path(CHIVECRANK_SOURCE_DIR) / "tests/emulator/days";

}  // namespace

BOOST_AUTO_TEST_SUITE(days)

BOOST_AUTO_TEST_CASE(EachDayKeepsItsPromisesOnSomeSeeds) {
  std::size_t played = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kDays)) {
    const day_file read = ReadDay(entry.path());
    for (const settings::problem& problem : read.problems)
      BOOST_ERROR(settings::Describe(problem));
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed, ++played) {
      const day_report report = PlayDay(read.day, seed);
      BOOST_TEST_INFO_SCOPE(entry.path().filename().string()
                            << " with seed " << seed << "\n"
                            << ReportAsText(report));
      BOOST_TEST(report.KeepsPromises());
      std::uint64_t completed = 0;
      for (const auto& [queue, counts] : report.queues)
        completed += counts.completed;
      BOOST_TEST(completed > 0u);
    }
  }
  BOOST_TEST(played > kSeeds);
}

BOOST_AUTO_TEST_CASE(ADayIsTheSameAgainWithTheSameSeed) {
  const day_file read = ReadDay((kDays / "calm.toml").string());
  BOOST_TEST(ReportAsJson(PlayDay(read.day, 7)) ==
             ReportAsJson(PlayDay(read.day, 7)));
  BOOST_TEST(ReportAsJson(PlayDay(read.day, 7)) !=
             ReportAsJson(PlayDay(read.day, 8)));
}

BOOST_AUTO_TEST_CASE(DaysWithTroubleAreTheSameAgainToo) {
  for (const std::string name :
       {"heavy-batch-beside-services.toml", "bad-workers-and-a-burst.toml"}) {
    const day_file read = ReadDay((kDays / name).string());
    // Something stays allocated between the plays, so that addresses differ.
    const std::string first = ReportAsJson(PlayDay(read.day, 3));
    const std::vector<std::string> kept(100, first);
    BOOST_TEST(ReportAsJson(PlayDay(read.day, 3)) == kept.back(), name);
  }
}

BOOST_AUTO_TEST_CASE(AWrongDayIsToldWithWhatWouldBeRight) {
  const std::string path =
      (std::filesystem::temp_directory_path() / "wrong-day.toml").string();
  {
    std::ofstream file(path);
    file << "instances = 0\n[[fault]]\nkind = \"rain\"\nat = 4\n";
  }
  const day_file read = ReadDay(path);
  std::filesystem::remove(path);
  std::string all;
  for (const settings::problem& problem : read.problems) {
    BOOST_TEST(!problem.remedy.empty());
    all += settings::Describe(problem) + "\n";
  }
  for (const std::string expected : {"instances", "rain", "queue", "at"})
    BOOST_TEST(all.find(expected) != std::string::npos, expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
