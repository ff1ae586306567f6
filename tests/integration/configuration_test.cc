#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <thread>

#include "configuration_operator.h"
#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";
constexpr std::chrono::seconds kLimit{60};
/// An upstream that leaves gets nothing new after this time.
constexpr std::chrono::seconds kLeavingLimit{3};
constexpr std::chrono::milliseconds kPoll{50};
/// Longer than the lease of a scheduler.
constexpr std::chrono::seconds kOutage{5};
/// A revision is in force everywhere within 7 s while the store is up.
constexpr std::chrono::seconds kInForceLimit{7};
constexpr std::chrono::milliseconds kChangePause{20};
constexpr std::chrono::milliseconds kNoPause{0};
constexpr int kChangesEach = 200;

deployment_options Instances(int count) {
  deployment_options options;
  options.instances = count;
  options.workers = 0;
  return options;
}

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::seconds limit = kLimit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

/// Adds `count` teams as one operator; returns the accepted revisions by team.
std::map<std::string, std::int64_t> AddTeams(const deployment& system,
                                             int instance,
                                             const std::string& name,
                                             int count,
                                             std::chrono::milliseconds pause) {
  configuration_operator by(system.InstanceAt(instance).admin, name);
  std::map<std::string, std::int64_t> accepted;
  for (int i = 0; i < count; ++i) {
    const std::string team = name + "-" + std::to_string(i);
    accepted[team] = by.AddTeam(team, kLimit);
    std::this_thread::sleep_for(pause);
  }
  return accepted;
}

/// Two operators change the configuration at once through two instances.
/// Each change that was accepted is in the history once, at the revision that
/// the operator was told, and in every later revision.
void RaceTwoOperators(deployment& system, int changes) {
  auto first = std::async(std::launch::async, [&] {
    return AddTeams(system, 0, "mere", changes, kNoPause);
  });
  auto accepted = AddTeams(system, 1, "jone", changes, kNoPause);
  accepted.merge(first.get());
  system.SetPlatformFaults("{}");
  configuration_operator reader(system.InstanceAt(2).admin, "sala");
  const std::vector<std::string> history = reader.Comments();
  BOOST_REQUIRE(history.size() == 2 * static_cast<std::size_t>(changes));
  for (const auto& [team, revision] : accepted) {
    BOOST_REQUIRE(revision > 0);
    BOOST_TEST(history[static_cast<std::size_t>(revision) - 1] == team);
  }
  const auto last = static_cast<std::int64_t>(history.size());
  BOOST_TEST(reader.Teams(0).size() == history.size());
  for (std::int64_t revision = 1; revision <= last; revision += 37) {
    const std::set<std::string> teams = reader.Teams(revision);
    BOOST_TEST(teams.size() == static_cast<std::size_t>(revision));
  }
  BOOST_TEST(WaitUntil([&] { return reader.LowestInForce() == last; }));
}

/// Whether the processes of an instance answer and have a revision in force.
bool HasInForce(const deployment& system, int index, std::int64_t revision) {
  configuration_operator by(system.InstanceAt(index).admin, "sala");
  const auto fleet = by.Get("/v1/instances");
  if (!fleet.has_value())
    return false;
  const http::json_array all = http::ArrayOf(fleet.value(), "processes");
  for (unsigned i = 0; i < all->size(); ++i) {
    const http::json_object one = all->getObject(i);
    if (http::StringOf(one, "instance") == system.InstanceAt(index).id &&
        http::IntegerOf(one, "revision") < revision) {
      return false;
    }
  }
  return true;
}

/// Whether the log of a process shows that its revision went back. Logs hold
/// every change, also those that a sampler would miss.
bool WentBack(const std::filesystem::path& log) {
  const std::string marker = "configuration: revision ";
  std::ifstream lines(log);
  std::string line;
  std::int64_t highest = 0;
  while (std::getline(lines, line)) {
    const std::size_t at = line.find(marker);
    if (at == std::string::npos)
      continue;
    const std::int64_t now = std::stoll(line.substr(at + marker.size()));
    if (now < highest)
      return true;
    highest = now;
  }
  BOOST_TEST(highest > 0, log.string() + " shows no revision");
  return false;
}

void CheckThatNoneWentBack(const deployment& system, int instances) {
  for (int index = 0; index < instances; ++index) {
    for (const std::string part : {"entry", "scheduler", "admin"}) {
      const std::string name = system.InstanceAt(index).id + "-" + part;
      BOOST_TEST(!WentBack(system.folder() / (name + ".log")), name);
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_suite)

BOOST_AUTO_TEST_CASE(RacingOperatorsLoseNothing) {
  deployment system(Instances(3));
  BOOST_REQUIRE(system.Start());
  RaceTwoOperators(system, kChangesEach);
}

BOOST_AUTO_TEST_CASE(RacingOperatorsLoseNothingThoughAnswersAreLost) {
  deployment system(Instances(3));
  BOOST_REQUIRE(system.Start());
  system.SetPlatformFaults(
      R"({"lost_answers":0.1,"late_writes":0.1,"late_by_ms":40,
          "stale_reads":0.1})");
  RaceTwoOperators(system, kChangesEach / 4);
}

BOOST_AUTO_TEST_CASE(StoreOutageDuringChangesLosesAndRevertsNothing) {
  deployment system(Instances(3));
  BOOST_REQUIRE(system.Start());
  auto changes = std::async(std::launch::async, [&] {
    return AddTeams(system, 0, "mere", 100, kChangePause);
  });
  std::this_thread::sleep_for(10 * kChangePause);
  system.SetPlatformFaults(R"({"down":true})");
  std::this_thread::sleep_for(kOutage);
  system.SetPlatformFaults(R"({"stale_reads":0.5})");
  BOOST_TEST(changes.get().size() == 100);
  system.SetPlatformFaults("{}");
  configuration_operator reader(system.InstanceAt(2).admin, "sala");
  BOOST_TEST(reader.Comments().size() == 100);
  BOOST_TEST(reader.Teams(0).size() == 100);
  BOOST_TEST(
      WaitUntil([&] { return reader.LowestInForce() == 100; }, kInForceLimit));
  CheckThatNoneWentBack(system, 3);
}

BOOST_AUTO_TEST_CASE(InstanceStartedInAnOutageIsReadyOnlyWithTheNewest) {
  deployment system(Instances(3));
  BOOST_REQUIRE(system.Start());
  AddTeams(system, 0, "mere", 3, kNoPause);
  system.KillInstance(1);
  system.SetPlatformFaults(R"({"down":true})");
  system.StartInstance(1);
  BOOST_TEST(!system.WaitUntilReady(1, kOutage));
  configuration_operator other(system.InstanceAt(0).admin, "sala");
  BOOST_TEST(other.LowestInForce() == 0);
  // The first read of the restarted instance may be stale.
  system.SetPlatformFaults(R"({"stale_reads":1})");
  BOOST_REQUIRE(system.WaitUntilReady(1, kLimit));
  BOOST_TEST(other.LowestInForce() == 3);
}

BOOST_AUTO_TEST_CASE(InstancePausedPastItsLeaseCatchesUp) {
  deployment_options options = Instances(3);
  options.failure_domains = {"viti-suva"};
  deployment system(options);
  BOOST_REQUIRE(system.Start());
  // Only this instance watches the store; the others hear from each other.
  for (child_process* process : system.ProcessesOf(0))
    process->Signal(SIGSTOP);
  AddTeams(system, 1, "jone", 5, kNoPause);
  BOOST_TEST(
      WaitUntil([&] { return HasInForce(system, 2, 5); }, kInForceLimit));
  std::this_thread::sleep_for(kOutage);
  for (child_process* process : system.ProcessesOf(0))
    process->Signal(SIGCONT);
  configuration_operator reader(system.InstanceAt(2).admin, "sala");
  BOOST_TEST(WaitUntil([&] { return reader.LowestInForce() == 5; }));
  CheckThatNoneWentBack(system, 3);
}

BOOST_AUTO_TEST_CASE(CtlCommandsReturnTheirExitCodes) {
  deployment system(Instances(2));
  BOOST_REQUIRE(system.Start());
  BOOST_TEST(system.RunCtl({"--dry_run", "apply", kConfiguration}) == 0);
  BOOST_TEST(system.RunCtl({"get", "1"}) == 3);
  BOOST_TEST(system.RunCtl({"--wait", "apply", kConfiguration}) == 0);
  BOOST_TEST(system.RunCtl({"status"}) == 0);
  BOOST_TEST(system.RunCtl({"--wait", "drain", "rack", "r1"}) == 0);
  BOOST_TEST(system.RunCtl({"drain", "shelf", "r1"}) == 3);
  BOOST_TEST(system.RunCtl({"diff", "1", "2"}) == 0);
  BOOST_TEST(system.RunCtl({"--wait", "rollback", "1"}) == 0);
  for (const std::string shown :
       {"history", "instances", "workers", "teams", "shards"}) {
    BOOST_TEST(system.RunCtl({shown}) == 0, shown);
    BOOST_TEST(system.RunCtl({"--output=json", shown}) == 0, shown);
  }
  BOOST_TEST(system.RunCtl({"completion", "bash"}) == 0);
  BOOST_TEST(system.RunCtl({"no-such-command"}) == 2);
  configuration_operator reader(system.InstanceAt(0).admin, "sala");
  BOOST_TEST(reader.Comments().size() == 3);
  for (child_process* process : system.ProcessesOf(1))
    process->Signal(SIGSTOP);
  BOOST_TEST(system.RunCtl(
                 {"--wait", "--wait_seconds=1", "undrain", "rack", "r1"}) == 6);
  system.SetPlatformFaults(R"({"down":true})");
  BOOST_TEST(system.RunCtl({"history"}) == 5);
}

BOOST_AUTO_TEST_CASE(DrainedWorkersGetNothingNew) {
  deployment_options options = Instances(2);
  options.workers = 2;
  options.failure_domains = {"viti-suva"};
  deployment system(options);
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.RunCtl({"--wait", "apply", kConfiguration}) == 0);
  caller by(system.Entries(), {}, 1);
  const auto completed = [&](const std::string& key) {
    return by.SendCallout(key).outcome == callers::request_outcome::kCompleted;
  };
  int sent = 0;
  BOOST_TEST(
      WaitUntil([&] { return completed("a-" + std::to_string(++sent)); }));
  BOOST_REQUIRE(
      system.RunCtl({"--wait", "drain", "failure_domain", "viti-suva"}) == 0);
  std::this_thread::sleep_for(kLeavingLimit);
  BOOST_TEST(!completed("b"));
  BOOST_REQUIRE(
      system.RunCtl({"--wait", "undrain", "failure_domain", "viti-suva"}) == 0);
  BOOST_TEST(
      WaitUntil([&] { return completed("c-" + std::to_string(++sent)); }));
  const std::string drained = system.WorkerAt(0).id;
  BOOST_REQUIRE(system.RunCtl({"--wait", "drain", "worker", drained}) == 0);
  std::this_thread::sleep_for(kLeavingLimit);
  for (const std::string key : {"n-1", "n-2", "n-3", "n-4"}) {
    const std::string job = by.SubmitJob("round-plan", key);
    BOOST_TEST(WaitUntil([&] { return by.JobState(job) == "done"; }), key);
  }
  for (const task_run& run : system.TaskRuns())
    BOOST_TEST(run.worker_id != drained);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
