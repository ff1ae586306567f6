#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include "chivecrank/emulator/day.h"

namespace chivecrank::emulator {
namespace {

constexpr std::uint64_t kSeeds = 3;
const std::filesystem::path kDays =
    std::filesystem::path(CHIVECRANK_SOURCE_DIR) / "tests/emulator/days";

/// What is wrong with a day's file, with a remedy for each problem.
std::string ProblemsOf(const std::string& text) {
  const std::string path =
      (std::filesystem::temp_directory_path() / "wrong-day.toml").string();
  std::ofstream(path) << text;
  const day_file read = ReadDay(path);
  std::filesystem::remove(path);
  std::string all;
  for (const settings::problem& problem : read.problems) {
    BOOST_TEST(!problem.remedy.empty());
    all += settings::Describe(problem) + "\n";
  }
  return all;
}

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
  const std::string all =
      ProblemsOf("instances = 0\n[[fault]]\nkind = \"rain\"\nat = 4\n");
  for (const std::string expected : {"instances", "rain", "queue", "at"})
    BOOST_TEST(all.find(expected) != std::string::npos, expected);
}

BOOST_AUTO_TEST_CASE(AWrongSeriesOrAimIsToldWithItsLine) {
  const std::string all = ProblemsOf(
      "worker_lease_ms = 5\n"
      "[[fault]]\nkind = \"kill_instances\"\ntimes = 3\n"
      "[[fault]]\nkind = \"kill_instances\"\nevery_ms = 3\n"
      "[[fault]]\nkind = \"kill_instances\"\ntimes = 0\nfirst = \"cat\"\n"
      "[[fault]]\nkind = \"crash_workers\"\nfirst = \"owner\"\n"
      "[[fault]]\nkind = \"kill_instances\"\ntakes_keys = true\n");
  for (const std::string expected :
       {":1: worker_lease_ms", ":4: fault[0].times", ":7: fault[1].every_ms",
        ":10: fault[2].times", ":11: fault[2].first", ":14: fault[3].first",
        ":17: fault[4].takes_keys"})
    BOOST_TEST(all.find(expected) != std::string::npos, expected);
  BOOST_TEST_MESSAGE(all);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
