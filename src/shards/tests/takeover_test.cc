#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/ownership/session.h"
#include "chivecrank/ownership/shard_registry.h"
#include "chivecrank/protocol/worker_fence.h"
#include "chivecrank/shards/shard_runner.h"
#include "tests/faulty_store.h"
#include "tests/fenced_workers.h"

namespace chivecrank::shards {
namespace {

constexpr int kSeeds = 1000;
constexpr int kSteps = 120;
constexpr int kTasks = 6;
constexpr char kShard[] = "s";

void RunInline(const std::function<void()>& job) {
  job();
}

/// One run of a scheduler process.
struct scheduler_process {
  std::unique_ptr<ownership::session> session;
  std::unique_ptr<shard_runner> runner;
  std::shared_ptr<const protocol::ownership_lease> ownership_lease;
};

/// Two schedulers on a store that fails at random, with crashes, pauses and
/// expired leases at any step.
class scenario {
 public:
  explicit scenario(std::uint64_t seed)
      : random_(seed), store_(real_store_, random_), workers_(clock_) {
    settings_.outage_grace = std::chrono::milliseconds(2000);
    session_settings_.outage_grace = settings_.outage_grace;
    // Small limits, so that snapshots are written during every kind of fault.
    settings_.journal.slots = 24;
    settings_.journal.records_per_snapshot = 6;
    for (int i = 1; i <= 2; ++i) {
      coordination::instance worker;
      worker.id = "w-" + std::to_string(i);
      worker.capacity = {2000, 2000, 0};
      worker.agent = {"127.0.0.1", static_cast<std::uint16_t>(i)};
      listed_.push_back(worker);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step)
      Step();
    // Without faults all accepted tasks must end.
    store_.SetFaults({});
    workers_.SetUnreachablePort(0);
    for (int step = 0; step < 400 && !AllFinished(); ++step) {
      workers_.FinishAll();
      RunScheduler(0);
      Advance();
    }
    BOOST_TEST(AllFinished());
  }

  void Check() const {
    BOOST_TEST(workers_.violation() == "");
    for (const auto& [task, times] : workers_.done())
      BOOST_TEST(times <= 1, task << " was done " << times << " times");
    for (const std::string& task : cancelled_)
      BOOST_TEST(!workers_.StartedAfter(task, cancelled_at_.at(task)), task);
  }

 private:
  void Step() {
    const int scheduler = Draw(2);
    switch (Draw(12)) {
      case 0:
        // A crash loses the state in memory; the lease in the store remains.
        schedulers_[scheduler] = {};
        break;
      case 1:
        store_.SetFaults(DrawFaults());
        break;
      case 2:
        workers_.SetUnreachablePort(Draw(3));
        break;
      case 3:
        Cancel(scheduler);
        break;
      case 4:
      case 5:
        Submit(scheduler);
        break;
      case 6:
        workers_.FinishOne(random_);
        break;
      case 7:
        // A pause in which neither scheduler acts for longer than a lease term.
        if (Draw(4) == 0)
          clock_.Advance(std::chrono::milliseconds(5000 + Draw(8000)));
        break;
      default:
        RunScheduler(scheduler);
    }
    Advance();
  }

  store_faults DrawFaults() {
    store_faults faults;
    faults.unavailable = Draw(3) == 0 ? 0.5 : 0;
    faults.lost_answers = Draw(2) == 0 ? 0.3 : 0;
    faults.late_writes = Draw(3) == 0 ? 0.2 : 0;
    return faults;
  }

  void Advance() { clock_.Advance(std::chrono::milliseconds(200 + Draw(800))); }

  int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }

  void RunScheduler(int scheduler) {
    scheduler_process& process = schedulers_[scheduler];
    if (!process.session) {
      process.session = std::make_unique<ownership::session>(
          store_, clock_, session_settings_,
          "run-" + std::to_string(++last_run_), "i");
    }
    static_cast<void>(process.session->Renew());
    if (process.session->IsValid() &&
        process.ownership_lease != process.session->current_lease())
      Claim(process);
    if (!process.runner)
      return;
    const auto round_result = process.runner->RunRound(listed_);
    const bool over = process.ownership_lease->GetAuthority(clock_.Now()) ==
                      protocol::authority::kNone;
    if (over || (!round_result.has_value() &&
                 round_result.error().kind != base::error_kind::kUnavailable)) {
      process.runner.reset();
      process.ownership_lease.reset();
    }
  }

  void Claim(scheduler_process& process) {
    ownership::shard_registry registry(store_);
    const auto ownership_lease = process.session->current_lease();
    const auto epoch = registry.Claim(
        {kShard, 0, "i", process.session->holder_key(), {"127.0.0.1", 1}});
    if (!epoch.has_value())
      return;
    auto runner = std::make_unique<shard_runner>(
        kShard, epoch.value(), settings_, clock_, store_, workers_,
        "run-" + std::to_string(last_run_), ownership_lease,
        executors{RunInline, RunInline, RunInline});
    if (!runner->Open().has_value()) {
      static_cast<void>(registry.Release(kShard, epoch.value()));
      return;
    }
    process.runner = std::move(runner);
    process.ownership_lease = ownership_lease;
  }

  void Submit(int scheduler) {
    if (!schedulers_[scheduler].runner)
      return;
    scheduling::task_request request;
    request.id = "s:" + std::to_string(Draw(kTasks));
    request.demand = {1000, 1000, 0};
    request.attempt_limit = 100;
    if (schedulers_[scheduler].runner->Submit(request).has_value())
      accepted_.insert(request.id);
  }

  void Cancel(int scheduler) {
    if (!schedulers_[scheduler].runner || accepted_.empty())
      return;
    const std::string id = *accepted_.begin();
    const auto done = schedulers_[scheduler].runner->Cancel(id);
    if (!done.has_value() || cancelled_.contains(id))
      return;
    cancelled_.insert(id);
    cancelled_at_[id] = clock_.Now();
  }

  bool AllFinished() {
    if (!schedulers_[0].runner || !schedulers_[0].session->IsValid())
      return accepted_.empty();
    for (const std::string& id : accepted_) {
      const auto known = schedulers_[0].runner->Find(id);
      if (!known.has_value() || !scheduling::IsFinal(known.value().state))
        return false;
      const bool cancelled =
          known.value().state == scheduling::task_state::kCancelled;
      if (cancelled_.contains(id) && !cancelled)
        return false;
    }
    return true;
  }

  std::mt19937_64 random_;
  base::manual_clock clock_;
  coordination::memory_store real_store_{clock_};
  faulty_store store_;
  fenced_workers workers_;
  shard_settings settings_;
  ownership::session_settings session_settings_;
  std::vector<coordination::instance> listed_;
  std::map<int, scheduler_process> schedulers_;
  int last_run_ = 0;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  std::map<std::string, base::time_point> cancelled_at_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(takeover_suite)

BOOST_AUTO_TEST_CASE(TasksSurviveFaultsWithoutLossOrDoubleRun) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      scenario run(static_cast<std::uint64_t>(seed));
      run.Run();
      run.Check();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
