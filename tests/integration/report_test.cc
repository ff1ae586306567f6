#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <thread>

#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";
constexpr int kCallouts = 30;
constexpr std::chrono::seconds kLimit{30};

std::string ReadFile(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

/// Runs chivecrank_report as an operator; returns what it printed.
std::string Report(const deployment& system,
                   const std::vector<std::string>& arguments) {
  const std::filesystem::path log = system.folder() / "report.log";
  std::filesystem::remove(log);
  setenv("CHIVECRANK_TOKEN", "sala-token", 1);
  child_process report(
      std::string(CHIVECRANK_BINARY_DIR) + "/chivecrank_report", arguments,
      log.string());
  BOOST_TEST(report.Wait() == 0);
  return ReadFile(log);
}

/// Calls until both entries have the configuration in force.
void WaitUntilServed(const deployment& system) {
  for (const settings::endpoint& entry : system.Entries()) {
    caller by({entry}, {}, 1);
    const auto end = std::chrono::steady_clock::now() + kLimit;
    int sent = 0;
    const auto served = [&] {
      const std::string key =
          "w-" + settings::ToString(entry) + "-" + std::to_string(++sent);
      return by.SendCallout(key).outcome ==
             callers::request_outcome::kCompleted;
    };
    while (!served() && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

void SendCallouts(const deployment& system) {
  caller by(system.Entries(), {}, 1);
  static int sent = 0;
  for (int i = 0; i < kCallouts; ++i) {
    const call_record record = by.SendCallout("r-" + std::to_string(++sent));
    BOOST_TEST(callers::RequestOutcomeName(record.outcome) == "completed",
               record.identifier
                   << " " << callers::RequestOutcomeName(record.outcome)
                   << " after " << record.latency.count() << " ms");
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report_suite)

BOOST_AUTO_TEST_CASE(ReportCountsWhatTheCallersCounted) {
  deployment system({});
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  std::string targets;
  for (int index = 0; index < 2; ++index) {
    targets += (targets.empty() ? "" : ",") +
               settings::ToString(system.InstanceAt(index).entry_status);
  }
  const std::string samples =
      "--samples=" + (system.folder() / "samples.jsonl").string();
  const std::vector<std::string> collect = {
      "collect", samples, "--targets=" + targets,
      "--admin=" + settings::ToString(system.InstanceAt(0).admin)};
  WaitUntilServed(system);
  Report(system, collect);
  SendCallouts(system);
  Report(system, collect);
  const std::string text = Report(system, {"show", samples});
  BOOST_TEST(text.find("dispatch: 99.9% within 250 ms") != std::string::npos,
             text);
  BOOST_TEST(text.find("requests " + std::to_string(kCallouts) + ", bad") !=
                 std::string::npos,
             text);
  const std::string page = Report(system, {"show", samples, "--format=html"});
  BOOST_TEST(page.find("<svg") != std::string::npos);
  const std::string rules = Report(system, {"rules", samples});
  BOOST_TEST(rules.find("service: dispatch") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
