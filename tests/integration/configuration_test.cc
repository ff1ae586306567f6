#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <future>
#include <map>
#include <thread>

#include "configuration_operator.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::seconds kLimit{60};
constexpr std::chrono::milliseconds kPoll{50};
/// Longer than the lease of a scheduler.
constexpr std::chrono::seconds kOutage{5};
constexpr int kChangesEach = 200;

deployment_options Instances(int count) {
  deployment_options options;
  options.instances = count;
  options.workers = 0;
  return options;
}

bool WaitUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
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
                                             int count) {
  configuration_operator by(system.InstanceAt(instance).admin, name);
  std::map<std::string, std::int64_t> accepted;
  for (int i = 0; i < count; ++i) {
    const std::string team = name + "-" + std::to_string(i);
    accepted[team] = by.AddTeam(team, kLimit);
  }
  return accepted;
}

/// Two operators change the configuration at once through two instances.
/// Each change that was accepted is in the history once, at the revision that
/// the operator was told, and in every later revision.
void RaceTwoOperators(deployment& system, int changes) {
  auto first = std::async(std::launch::async,
                          [&] { return AddTeams(system, 0, "mere", changes); });
  auto accepted = AddTeams(system, 1, "jone", changes);
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

/// Watches the revisions in force in the background. A process may be without
/// one after a restart, but none may go back to a lower one.
class revision_monitor {
 public:
  explicit revision_monitor(const settings::endpoint& admin)
      : by_(admin, "sala"), thread_([this] { Run(); }) {}
  ~revision_monitor() { Stop(); }

  /// Names of processes that went back.
  std::set<std::string> Stop() {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
    return went_back_;
  }

 private:
  void Run() {
    while (!stopping_) {
      const auto fleet = by_.Get("/v1/instances");
      if (fleet.has_value())
        Look(http::ArrayOf(fleet.value(), "processes"));
      std::this_thread::sleep_for(kPoll);
    }
  }

  void Look(const http::json_array& all) {
    for (unsigned i = 0; i < all->size(); ++i) {
      const http::json_object one = all->getObject(i);
      const std::string name =
          http::StringOf(one, "instance") + http::StringOf(one, "daemon");
      const std::int64_t now = http::IntegerOf(one, "revision");
      if (now != 0 && now < highest_[name])
        went_back_.insert(name);
      highest_[name] = std::max(highest_[name], now);
    }
  }

  configuration_operator by_;
  std::map<std::string, std::int64_t> highest_;
  std::set<std::string> went_back_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

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
  revision_monitor monitor(system.InstanceAt(2).admin);
  auto changes = std::async(std::launch::async,
                            [&] { return AddTeams(system, 0, "mere", 40); });
  std::this_thread::sleep_for(kPoll);
  system.SetPlatformFaults(R"({"down":true})");
  std::this_thread::sleep_for(kOutage);
  system.SetPlatformFaults(R"({"stale_reads":0.2})");
  BOOST_TEST(changes.get().size() == 40);
  system.SetPlatformFaults("{}");
  configuration_operator reader(system.InstanceAt(2).admin, "sala");
  BOOST_TEST(reader.Comments().size() == 40);
  BOOST_TEST(reader.Teams(0).size() == 40);
  BOOST_TEST(WaitUntil([&] { return reader.LowestInForce() == 40; }));
  BOOST_TEST(monitor.Stop().size() == 0);
}

BOOST_AUTO_TEST_CASE(InstanceStartedInAnOutageIsReadyOnlyWithTheNewest) {
  deployment system(Instances(3));
  BOOST_REQUIRE(system.Start());
  AddTeams(system, 0, "mere", 3);
  system.KillInstance(1);
  system.SetPlatformFaults(R"({"down":true})");
  system.StartInstance(1);
  BOOST_TEST(!system.WaitUntilReady(1, kOutage));
  configuration_operator other(system.InstanceAt(0).admin, "sala");
  BOOST_TEST(other.Get("/v1/instances").has_value());
  // The first read of the restarted instance may be stale.
  system.SetPlatformFaults(R"({"stale_reads":1})");
  BOOST_REQUIRE(system.WaitUntilReady(1, kLimit));
  BOOST_TEST(other.LowestInForce() == 3);
}

BOOST_AUTO_TEST_CASE(InstancePausedPastItsLeaseCatchesUp) {
  deployment system(Instances(3));
  BOOST_REQUIRE(system.Start());
  revision_monitor monitor(system.InstanceAt(2).admin);
  // The first instance watches the store for its failure domain.
  for (child_process* process : system.ProcessesOf(0))
    process->Signal(SIGSTOP);
  AddTeams(system, 1, "jone", 5);
  std::this_thread::sleep_for(kOutage);
  for (child_process* process : system.ProcessesOf(0))
    process->Signal(SIGCONT);
  configuration_operator reader(system.InstanceAt(2).admin, "sala");
  BOOST_TEST(WaitUntil([&] { return reader.LowestInForce() == 5; }));
  BOOST_TEST(monitor.Stop().size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
