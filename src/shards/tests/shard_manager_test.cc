#include "chivecrank/shards/shard_manager.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "tests/fenced_workers.h"

namespace chivecrank::shards {
namespace {

constexpr std::chrono::seconds kTimeout{20};

/// An instance list that always shows all instances as live.
class constant_instance_list final : public coordination::instance_list {
 public:
  base::result<std::vector<coordination::instance>> List() override {
    coordination::instance worker;
    worker.id = "w-1";
    worker.failure_domain = "d";
    worker.rack = "r";
    worker.agent = {"127.0.0.1", 1};
    std::vector<coordination::instance> all = {worker};
    for (const char* id : {"i-1", "i-2"}) {
      coordination::instance system;
      system.id = id;
      system.kind = coordination::instance_kind::kSystem;
      all.push_back(system);
    }
    return all;
  }
};

struct fixture {
  base::system_clock clock;
  coordination::memory_store store{clock};
  constant_instance_list list;
  fenced_workers workers{clock};

  std::unique_ptr<shard_manager> Manager(const std::string& id) {
    ownership::session_settings session;
    session.term = std::chrono::hours(1);
    return std::make_unique<shard_manager>(
        scheduler_identity{id, id + "-run", {"127.0.0.1", 2}}, shard_settings{},
        session, clock, store, list, workers, [](const shard_totals&) {},
        [](const scheduling::event&) {});
  }

  bool WaitUntil(const std::function<bool()>& holds) {
    const base::time_point end = clock.Now() + kTimeout;
    while (clock.Now() < end && !holds())
      clock.SleepUntil(clock.Now() + std::chrono::milliseconds(20));
    return holds();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_manager_suite, fixture)

BOOST_AUTO_TEST_CASE(StoppedOwnerReleasesShardWhileStillListed) {
  const auto owns_shard = [](const std::unique_ptr<shard_manager>& manager) {
    return manager->FindRunner("d.r") != nullptr;
  };
  auto first = Manager("i-1");
  auto second = Manager("i-2");
  first->Start();
  second->Start();
  BOOST_REQUIRE(
      WaitUntil([&] { return owns_shard(first) || owns_shard(second); }));
  auto& owner = owns_shard(first) ? first : second;
  auto& other = owns_shard(first) ? second : first;
  owner->Stop();
  // The lease term is one hour, so the takeover does not come from its expiry.
  BOOST_TEST(WaitUntil([&] { return owns_shard(other); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
