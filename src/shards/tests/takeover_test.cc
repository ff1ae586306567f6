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

/// One process run of a scheduler.
struct scheduler_life {
  std::unique_ptr<ownership::session> session;
  std::unique_ptr<shard_runner> runner;
  std::shared_ptr<const protocol::ownership_lease> held;
};

/// Two schedulers over a store that fails at random, with crashes, pauses and
/// lapses at any call.
class scenario {
 public:
  explicit scenario(std::uint64_t seed)
      : random_(seed), store_(real_store_, random_), workers_(clock_) {
    settings_.outage_grace = std::chrono::milliseconds(2000);
    session_settings_.outage_grace = settings_.outage_grace;
    // Small, so that snapshots fall into every fault.
    settings_.journal.slots = 24;
    settings_.journal.snapshot_after = 6;
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
    // With every fault gone, everything comes to an end.
    store_.SetFaults({});
    workers_.SetCutOff(0);
    for (int step = 0; step < 400 && !AllSettled(); ++step) {
      workers_.FinishAll();
      Lead(0);
      Advance();
    }
    BOOST_TEST(AllSettled());
  }

  void Check() const {
    BOOST_TEST(workers_.broken() == "");
    for (const auto& [task, times] : workers_.done())
      BOOST_TEST(times <= 1, task << " was done " << times << " times");
    for (const std::string& task : cancelled_)
      BOOST_TEST(!workers_.StartedAfter(task, cancelled_at_.at(task)), task);
  }

 private:
  void Step() {
    const int who = Draw(2);
    switch (Draw(12)) {
      case 0:
        // A crash: what was in memory is gone; the store's lease goes on.
        lives_[who] = {};
        break;
      case 1:
        store_.SetFaults(DrawFaults());
        break;
      case 2:
        workers_.SetCutOff(Draw(3));
        break;
      case 3:
        Cancel(who);
        break;
      case 4:
      case 5:
        Submit(who);
        break;
      case 6:
        workers_.FinishOne(random_);
        break;
      case 7:
        // A pause: nobody acts for longer than a lease.
        if (Draw(4) == 0)
          clock_.Advance(std::chrono::milliseconds(5000 + Draw(8000)));
        break;
      default:
        Lead(who);
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

  void Lead(int who) {
    scheduler_life& life = lives_[who];
    if (!life.session) {
      life.session = std::make_unique<ownership::session>(
          store_, clock_, session_settings_,
          "run-" + std::to_string(++last_run_), "i");
    }
    static_cast<void>(life.session->Renew());
    if (life.session->IsValid() && life.held != life.session->current_lease())
      Claim(life);
    if (!life.runner)
      return;
    const auto led = life.runner->RunRound(listed_);
    const bool over =
        life.held->GetAuthority(clock_.Now()) == protocol::authority::kNone;
    if (over || (!led.has_value() &&
                 led.error().kind != base::error_kind::kUnavailable)) {
      life.runner.reset();
      life.held.reset();
    }
  }

  void Claim(scheduler_life& life) {
    ownership::shard_registry registry(store_);
    const auto held = life.session->current_lease();
    const auto epoch = registry.Claim(
        {kShard, 0, "i", life.session->holder_key(), {"127.0.0.1", 1}});
    if (!epoch.has_value())
      return;
    auto runner = std::make_unique<shard_runner>(
        kShard, epoch.value(), settings_, clock_, store_, workers_,
        "run-" + std::to_string(last_run_), held,
        executors{RunInline, RunInline, RunInline});
    if (!runner->Open().has_value()) {
      static_cast<void>(registry.Release(kShard, epoch.value()));
      return;
    }
    life.runner = std::move(runner);
    life.held = held;
  }

  void Submit(int who) {
    if (!lives_[who].runner)
      return;
    scheduling::task_request request;
    request.id = "s:" + std::to_string(Draw(kTasks));
    request.demand = {1000, 1000, 0};
    request.attempt_limit = 100;
    if (lives_[who].runner->Submit(request).has_value())
      accepted_.insert(request.id);
  }

  void Cancel(int who) {
    if (!lives_[who].runner || accepted_.empty())
      return;
    const std::string id = *accepted_.begin();
    const auto done = lives_[who].runner->Cancel(id);
    if (!done.has_value() || cancelled_.contains(id))
      return;
    cancelled_.insert(id);
    cancelled_at_[id] = clock_.Now();
  }

  bool AllSettled() {
    if (!lives_[0].runner || !lives_[0].session->IsValid())
      return accepted_.empty();
    for (const std::string& id : accepted_) {
      const auto known = lives_[0].runner->Find(id);
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
  std::map<int, scheduler_life> lives_;
  int last_run_ = 0;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  std::map<std::string, base::time_point> cancelled_at_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(takeover_suite)

BOOST_AUTO_TEST_CASE(NoSeedLosesOrDoublesWork) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      scenario played(static_cast<std::uint64_t>(seed));
      played.Run();
      played.Check();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
