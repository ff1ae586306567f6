#include "chivecrank/entries/slot_pool.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/base/system_clock.h"

namespace chivecrank::entries {
namespace {

using std::chrono::milliseconds;

coordination::instance Upstream(std::int64_t slots) {
  coordination::instance upstream;
  upstream.id = "w-1";
  upstream.slots = slots;
  return upstream;
}

slot_demand Demand(base::time_point deadline) {
  slot_demand demand;
  demand.service = "dispatch";
  demand.account = "hotel";
  demand.deadline = deadline;
  return demand;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_pool_suite)

BOOST_AUTO_TEST_CASE(WaitingRequestGetsReleasedSlot) {
  base::system_clock clock;
  slot_pool pool(clock, {0, 1}, {}, false);
  pool.Update({Upstream(1)});
  const base::time_point deadline = clock.Now() + std::chrono::seconds(60);
  const slot_result first = pool.Acquire(Demand(deadline));
  BOOST_REQUIRE(first.slot.has_value());
  // All checks run on this thread, because Boost.Test's log is not thread-safe.
  bool got_slot = false;
  std::thread waiting([&] {
    const slot_result second = pool.Acquire(Demand(deadline));
    got_slot = second.slot.has_value();
    if (second.slot)
      pool.Release(*second.slot, routing::slot_outcome::kAnswered);
  });
  while (pool.Totals().waiting == 0)
    std::this_thread::yield();
  pool.Release(*first.slot, routing::slot_outcome::kAnswered);
  waiting.join();
  BOOST_TEST(got_slot);
  BOOST_TEST(pool.Totals().router.in_use == 0);
}

BOOST_AUTO_TEST_CASE(RequestWithInfeasibleDeadlineIsRefusedWithoutWaiting) {
  base::manual_clock clock;
  slot_pool pool(clock, {0, 1}, {}, false);
  pool.Update({Upstream(1)});
  const slot_result first =
      pool.Acquire(Demand(clock.Now() + milliseconds(10)));
  BOOST_REQUIRE(first.slot.has_value());
  clock.Advance(milliseconds(100));
  pool.Release(*first.slot, routing::slot_outcome::kAnswered);
  // The latency estimate is 100 ms now, and the clock stands still.
  const slot_result infeasible =
      pool.Acquire(Demand(clock.Now() + milliseconds(10)));
  BOOST_TEST(!infeasible.slot.has_value());
  BOOST_TEST(
      (infeasible.refused.reason == admission::refusal_reason::kTooLate));
  BOOST_TEST(infeasible.refused.retry_after.count() == 90);
}

BOOST_AUTO_TEST_CASE(OwnSlotsAreUnusableUntilPredecessorsLeasesHaveEnded) {
  base::manual_clock clock;
  slot_pool pool(clock, {0, 2}, {}, true);
  pool.Update({Upstream(8)});
  BOOST_TEST(!pool.IsUsable());
  clock.Advance(routing::sharing_options().ReclaimDelay());
  BOOST_TEST(pool.IsUsable());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::entries
