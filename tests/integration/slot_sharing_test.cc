#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::seconds kStep{2};
constexpr std::chrono::seconds kLeavingLimit{3};
constexpr int kCallers = 44;
const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";

/// Callers that together keep most of the slots busy.
class load {
 public:
  explicit load(deployment& system) {
    for (int i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, &system, i] {
        caller by(system.Entries(), {}, static_cast<std::uint64_t>(i));
        for (int sent = 0; !stopping_; ++sent)
          Count(by.SendCallout(std::to_string(i) + "-" + std::to_string(sent)));
      });
    }
  }

  void Stop() {
    stopping_ = true;
    for (std::thread& one : callers_)
      one.join();
  }

  std::int64_t completed() const { return completed_; }
  std::int64_t wrong() const { return wrong_; }

 private:
  void Count(const call_record& record) {
    if (record.outcome == callers::request_outcome::kCompleted)
      ++completed_;
    if (record.wrong_answer)
      ++wrong_;
  }

  std::atomic<bool> stopping_ = false;
  std::atomic<std::int64_t> completed_ = 0;
  std::atomic<std::int64_t> wrong_ = 0;
  std::vector<std::thread> callers_;
};

std::int64_t ToMs(std::chrono::system_clock::duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::int64_t WallMs() {
  return ToMs(std::chrono::system_clock::now().time_since_epoch());
}

child_process& EntryOf(deployment& system, int index) {
  return *system.ProcessesOf(index).front();
}

void CheckAccounts(deployment& system, const load& callers) {
  BOOST_TEST(callers.completed() > 0);
  BOOST_TEST(callers.wrong() == 0);
  for (const std::string& worker : system.OvercommittedWorkers())
    BOOST_ERROR("more requests than slots at once: " + worker);
  for (const auto& [identifier, runs] : system.RequestRuns())
    BOOST_TEST(runs == 1, identifier);
  BOOST_TEST_MESSAGE("completed " << callers.completed());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_sharing_suite)

BOOST_AUTO_TEST_CASE(SlotsHoldWhileAnUpstreamIsStopped) {
  deployment_options options;
  options.instances = 7;
  options.workers = 6;
  options.service_ms = 30;
  deployment system(options);
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  load callers(system);
  std::this_thread::sleep_for(kStep);
  system.WorkerProcess(0)->Signal(SIGSTOP);
  std::this_thread::sleep_for(3 * kStep);
  system.WorkerProcess(0)->Signal(SIGCONT);
  std::this_thread::sleep_for(kStep);
  callers.Stop();
  CheckAccounts(system, callers);
}

BOOST_AUTO_TEST_CASE(SlotsHoldWhileEntriesDiePauseAndReturn) {
  deployment_options options;
  options.instances = 7;
  options.workers = 6;
  options.service_ms = 30;
  deployment system(options);
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  load callers(system);
  std::this_thread::sleep_for(kStep);
  system.KillInstance(0);
  EntryOf(system, 1).Signal(SIGSTOP);
  std::this_thread::sleep_for(kStep);
  system.StartInstance(0);
  std::this_thread::sleep_for(kStep);
  EntryOf(system, 1).Signal(SIGCONT);
  BOOST_TEST(system.WaitUntilReady(0, std::chrono::seconds(60)));
  std::this_thread::sleep_for(kStep);
  callers.Stop();
  CheckAccounts(system, callers);
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNothingNewAfterThreeSeconds) {
  deployment_options options;
  options.instances = 7;
  options.workers = 6;
  options.service_ms = 30;
  deployment system(options);
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  load callers(system);
  std::this_thread::sleep_for(kStep);
  system.SetLeaving(0, true);
  const std::int64_t marked = WallMs();
  std::this_thread::sleep_for(kLeavingLimit + kStep);
  BOOST_TEST(system.LastStartAt(0) > 0);
  BOOST_TEST(system.LastStartAt(0) <= marked + ToMs(kLeavingLimit));
  BOOST_TEST(system.LastStartAt(1) > marked + ToMs(kLeavingLimit));
  callers.Stop();
  CheckAccounts(system, callers);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
