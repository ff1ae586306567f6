#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <random>
#include <sstream>

#include "chivecrank/emulator/day.h"
#include "chivecrank/event_log/submission_history.h"

namespace chivecrank::emulator {
namespace {

constexpr std::uint64_t kSeed = 3;
constexpr std::size_t kPicked = 10;
const std::filesystem::path kDays =
    std::filesystem::path(CHIVECRANK_SOURCE_DIR) / "tests/emulator/days";

/// A day that was played, with the log lines of all its instances.
struct played_day {
  explicit played_day(const std::string& name,
                      const std::function<void(day_description&)>& adapt = {}) {
    day_file read = ReadDay((kDays / name).string());
    BOOST_REQUIRE(read.problems.empty());
    if (adapt)
      adapt(read.day);
    read.day.system.on_log_line = [this](std::string_view line) {
      log += line;
    };
    report = PlayDay(read.day, kSeed);
  }

  event_log::submission_history Explain(const std::string& id) const {
    event_log::history_reader reader(id);
    std::istringstream lines(log);
    reader.Read(lines);
    return reader.Finish();
  }

  /// The first missed submission with a cause that holds `text`.
  std::string FirstWithCause(const std::string& text) const {
    for (const std::string& id : report.missed)
      for (const std::string& cause : Explain(id).causes)
        if (cause.find(text) != std::string::npos)
          return id;
    return {};
  }

  std::string log;
  day_report report;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(explain)

BOOST_AUTO_TEST_CASE(TenMissedSubmissionsAtRandomAreExplained) {
  for (const std::string day :
       {"bad-workers-and-a-burst.toml", "store-outage-all-die.toml",
        "owner-dies-store-slow.toml", "workers-leave-in-waves.toml"}) {
    const played_day played(day);
    std::vector<std::string> picked = played.report.missed;
    // No log knows of one that reached no instance.
    std::erase_if(picked, [&](const std::string& id) {
      return played.Explain(id).events.empty();
    });
    BOOST_TEST_INFO_SCOPE(day);
    BOOST_TEST(!picked.empty());
    std::mt19937_64 random(kSeed);
    std::shuffle(picked.begin(), picked.end(), random);
    picked.resize(std::min(picked.size(), kPicked));
    for (const std::string& id : picked) {
      const event_log::submission_history history = played.Explain(id);
      BOOST_TEST_INFO_SCOPE(event_log::ToText(history));
      BOOST_TEST(!history.causes.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(OneRejectedWhileTheStoreWasAwayNamesTheStore) {
  const played_day played("store-outage-all-die.toml");
  BOOST_TEST(!played.FirstWithCause("store").empty());
}

BOOST_AUTO_TEST_CASE(OneLateByABadWorkerNamesWhatHappenedToItsRuns) {
  const played_day played("workers-leave-in-waves.toml");
  BOOST_TEST(!played.FirstWithCause("lost with their worker").empty());
}

BOOST_AUTO_TEST_CASE(OneThatFailedAfterItsAttemptsNamesTheFailures) {
  // With more attempts nothing fails for a failing worker.
  const played_day played("bad-workers-and-a-burst.toml",
                          [](day_description& day) {
                            for (queue_load& queue : day.system.queues)
                              queue.policy.attempt_limit = 1;
                          });
  std::string failed;
  for (const std::string& id : played.report.missed)
    if (played.Explain(id).outcome.find("failed") != std::string::npos)
      failed = id;
  BOOST_REQUIRE(!failed.empty());
  const event_log::submission_history history = played.Explain(failed);
  BOOST_TEST_INFO_SCOPE(event_log::ToText(history));
  BOOST_TEST(std::ranges::any_of(history.causes, [](const std::string& cause) {
    return cause.find("failed") != std::string::npos;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
