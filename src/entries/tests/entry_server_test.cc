#include "chivecrank/entries/entry_server.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/entries/entry_client.h"
#include "chivecrank/entries/slot_exchanger.h"
#include "harness/network.h"

namespace chivecrank::entries {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::chrono::seconds kLimit{60};

struct fixture {
  fixture() {
    coordination::instance upstream;
    upstream.id = "w-1";
    upstream.slots = 8;
    for (slot_pool* pool : {&lender, &borrower})
      pool->Update({upstream});
  }

  harness::network network;
  std::vector<settings::endpoint> addresses{{network.Host(1, 1), 8082},
                                            {network.Host(1, 2), 8082}};
  base::system_clock clock;
  slot_pool lender{clock, {0, 2}, {}, false};
  slot_pool borrower{clock, {1, 2}, {}, false};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(entry_server_suite, fixture)

BOOST_AUTO_TEST_CASE(SlotsAreBorrowedAndReturnedOverThrift) {
  entry_server server(addresses[0], lender);
  BOOST_REQUIRE(server.Start().has_value());
  slot_exchanger exchanger(clock, borrower, addresses, 1, kTimeout);
  exchanger.Start();
  // Four slots are the borrower's own; the fifth has to be borrowed.
  slot_demand demand;
  demand.account = "hotel";
  demand.deadline = clock.Now() + std::chrono::milliseconds(2000);
  std::vector<held_slot> held;
  for (int i = 0; i < 5; ++i) {
    const slot_result answer = borrower.Acquire(demand);
    BOOST_REQUIRE(answer.slot.has_value());
    held.push_back(*answer.slot);
  }
  BOOST_TEST(lender.Totals().router.lent > 0);
  for (const held_slot& slot : held)
    borrower.Release(slot, routing::slot_outcome::kAnswered);
  borrower.ReturnBorrowed(kTimeout);
  BOOST_TEST(lender.Totals().router.lent == 0);
  exchanger.Stop();
  server.Stop();
}

BOOST_AUTO_TEST_CASE(OwnSlotsStayUsableWhilePeerIsUnresponsive) {
  slot_exchanger exchanger(clock, borrower, addresses, 1,
                           std::chrono::milliseconds(50));
  exchanger.Start();
  slot_demand demand;
  demand.account = "hotel";
  demand.deadline = clock.Now() + kLimit;
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(borrower.Acquire(demand).slot.has_value());
  while (borrower.Totals().failed_exchanges == 0)
    std::this_thread::yield();
  exchanger.Stop();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::entries
