#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::seconds kLimit{60};
const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";

bool WaitForDone(caller& by, const std::string& job) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (std::chrono::steady_clock::now() < end) {
    if (by.JobState(job) == "done")
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::string WaitForSubmission(caller& by, const std::string& key) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (std::chrono::steady_clock::now() < end) {
    std::string job = by.SubmitJob("round-plan", key);
    if (!job.empty())
      return job;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(whole_path_suite)

BOOST_AUTO_TEST_CASE(RequestsAndJobsGoThroughRealProcesses) {
  deployment system({});
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  caller by(system.Entries(), {}, 1);
  const std::string job = WaitForSubmission(by, "night-1");
  BOOST_REQUIRE(!job.empty());
  for (int i = 0; i < 20; ++i) {
    const call_record record = by.SendCallout("c-" + std::to_string(i));
    BOOST_TEST((record.outcome == callers::request_outcome::kCompleted));
    BOOST_TEST(!record.wrong_answer);
  }
  for (const auto& [identifier, runs] : system.RequestRuns())
    BOOST_TEST(runs == 1, identifier);
  BOOST_TEST(by.SubmitJob("round-plan", "night-1") == job);
  BOOST_TEST(WaitForDone(by, job));
  BOOST_TEST(system.TaskRuns().size() == 1);
  BOOST_TEST(system.OvercommittedWorkers().empty());
}

BOOST_AUTO_TEST_CASE(JobFinishesThoughItsSchedulerIsKilled) {
  deployment system({});
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  caller by(system.Entries(), {}, 2);
  std::set<std::string> jobs;
  for (int i = 0; i < 10; ++i)
    jobs.insert(WaitForSubmission(by, "night-" + std::to_string(i)));
  BOOST_TEST(jobs.size() == 10);
  system.KillInstance(0);
  for (const std::string& job : jobs)
    BOOST_TEST(WaitForDone(by, job), job);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
