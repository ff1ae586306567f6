#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <set>
#include <thread>

#include "chivecrank/ownership/rendezvous.h"
#include "chivecrank/shards/types.h"
#include "harness/account_book.h"
#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{120};
constexpr int kJobs = 12;
constexpr int kInstances = 3;
/// Longer than the leases of shards and tasks in a deployment.
constexpr seconds kPastTheLease{4};
const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";

/// Jobs that run while faults come and go; the workers' accounts judge.
class job_run {
 public:
  job_run() : system_(Options()) {
    BOOST_REQUIRE(system_.Start());
    BOOST_REQUIRE(system_.Apply(kConfiguration) == 0);
    by_ = std::make_unique<caller>(system_.Entries(), caller_options{}, 1);
    for (int i = 0; i < kJobs; ++i)
      Submit("survey-" + std::to_string(i));
    BOOST_REQUIRE(WaitUntil([this] { return !system_.TaskRuns().empty(); }));
    std::this_thread::sleep_for(seconds(1));
  }

  deployment& system() { return system_; }

  /// The instance that owns the shard of the first worker: while all are
  /// live, ownership goes where rendezvous hashing proposes.
  int Owner() const {
    std::vector<std::string> nodes;
    nodes.reserve(kInstances);
    for (int index = 0; index < kInstances; ++index)
      nodes.push_back(system_.InstanceAt(index).id);
    const std::string shard = shards::ShardOf(system_.WorkerAt(0));
    const std::string owner = ownership::ProposeNode(shard, nodes);
    const auto place = std::find(nodes.begin(), nodes.end(), owner);
    return static_cast<int>(place - nodes.begin());
  }

  void PauseInstance(int index, seconds time) {
    for (child_process* process : system_.ProcessesOf(index))
      process->Signal(SIGSTOP);
    std::this_thread::sleep_for(time);
    for (child_process* process : system_.ProcessesOf(index))
      process->Signal(SIGCONT);
  }

  /// Nobody reaches the worker, and it reaches nobody.
  void PauseWorker(int index, seconds time) {
    system_.WorkerProcess(index)->Signal(SIGSTOP);
    std::this_thread::sleep_for(time);
    system_.WorkerProcess(index)->Signal(SIGCONT);
  }

  void PlatformFault(const std::string& faults, seconds time) {
    system_.SetPlatformFaults(faults);
    std::this_thread::sleep_for(time);
    system_.SetPlatformFaults("{}");
  }

  /// Every job is done once, in one place, within the workers' capacity.
  void Check() {
    account_book book;
    for (const std::string& job : jobs_) {
      const bool done = WaitUntil([&] { return by_->JobState(job) == "done"; });
      BOOST_TEST(done, job << " is " << by_->JobState(job));
      book.AddJob(job, done);
    }
    const account_totals totals = book.Compare({}, system_.TaskRuns());
    BOOST_TEST(totals.done == kJobs);
    BOOST_TEST(totals.lost == 0);
    BOOST_TEST(totals.doubled == 0);
    BOOST_TEST(system_.OvercommittedWorkers().empty());
  }

 private:
  static deployment_options Options() {
    deployment_options options;
    options.instances = kInstances;
    return options;
  }

  void Submit(const std::string& key) {
    std::string job;
    BOOST_REQUIRE(WaitUntil([&] {
      job = by_->SubmitJob("site-survey", key);
      return !job.empty();
    }));
    jobs_.insert(job);
  }

  static bool WaitUntil(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < end) {
      if (holds())
        return true;
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  deployment system_;
  std::unique_ptr<caller> by_;
  std::set<std::string> jobs_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(tasks_faults_suite, job_run)

BOOST_AUTO_TEST_CASE(OwnerIsKilled) {
  system().KillInstance(Owner());
  Check();
}

BOOST_AUTO_TEST_CASE(OwnerIsStopped) {
  system().StopInstance(Owner());
  Check();
  // The next owner renewed the leases in time.
  for (const task_run& run : system().TaskRuns())
    BOOST_TEST(run.state == "done", run.task_id);
}

BOOST_AUTO_TEST_CASE(OwnersArePausedPastTheirLeases) {
  for (int index = 0; index < kInstances; ++index)
    PauseInstance(index, kPastTheLease);
  Check();
}

BOOST_AUTO_TEST_CASE(StoreIsDown) {
  PlatformFault(R"({"down": true})", seconds(15));
  // Nothing had to stop: leases went on without the store.
  for (const task_run& run : system().TaskRuns())
    BOOST_TEST(run.state != "stopped", run.task_id);
  Check();
}

BOOST_AUTO_TEST_CASE(StoreIsSlowAndLosesAnswers) {
  PlatformFault(R"({"delay_ms": 700, "lost_answers": 0.3})", seconds(10));
  Check();
}

BOOST_AUTO_TEST_CASE(WorkerIsKilled) {
  system().KillWorker(0);
  Check();
}

BOOST_AUTO_TEST_CASE(WorkerIsCutOffWhileItsOwnerIsKilled) {
  system().KillInstance(Owner());
  PauseWorker(0, kPastTheLease);
  Check();
}

BOOST_AUTO_TEST_CASE(OwnerIsPausedWhileTheStoreLosesAnswers) {
  system().SetPlatformFaults(R"({"lost_answers": 0.4})");
  PauseInstance(Owner(), kPastTheLease);
  system().SetPlatformFaults("{}");
  Check();
}

BOOST_AUTO_TEST_CASE(OwnerIsKilledWhileTheStoreIsDown) {
  system().SetPlatformFaults(R"({"down": true})");
  system().KillInstance(Owner());
  std::this_thread::sleep_for(kPastTheLease);
  system().SetPlatformFaults("{}");
  Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
