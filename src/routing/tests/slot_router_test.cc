#include "chivecrank/routing/slot_router.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace chivecrank::routing {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point kStart{std::chrono::seconds(1000)};
const slot_request kRequest{kStart + std::chrono::hours(1)};

coordination::instance Upstream(const std::string& id) {
  coordination::instance upstream;
  upstream.id = id;
  upstream.slots = 8;
  return upstream;
}

/// Takes every free slot of a router and returns how many there were.
int TakeAllSlots(slot_router& router, base::time_point now) {
  int taken = 0;
  while (router.Acquire({now + milliseconds(100)}, now))
    ++taken;
  return taken;
}

/// Delivers the messages of `from` to `to` and the answers back, without delay.
void Exchange(slot_router& from,
              slot_router& to,
              std::int64_t waiting,
              base::time_point now,
              std::int64_t waiting_at_peer = 0) {
  for (const outgoing_exchange& sent : from.PlanExchanges(waiting, now))
    from.HandleAnswer(
        sent, to.HandleRequest(sent.request, waiting_at_peer, now), now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_router_suite)

BOOST_AUTO_TEST_CASE(OwnSlotsOfAllEntriesSumToUpstreamSlots) {
  const std::vector<std::string> domains = {"a", "b", "c", "d", "a", "b", "c"};
  for (int i = 0; i < 50; ++i) {
    coordination::instance upstream = Upstream("w-" + std::to_string(i));
    for (const std::string domain : {"a", "d", "elsewhere"}) {
      upstream.failure_domain = domain;
      std::int64_t total = 0;
      for (std::int64_t index = 0; index < 7; ++index)
        total += slot_assignment({index, 7, domains}).OwnSlots(upstream);
      BOOST_TEST(total == 8);
    }
  }
}

BOOST_AUTO_TEST_CASE(EntryWithoutOwnSlotsBorrowsFromTheOnlyEntryThatHasThem) {
  // Only entry 0 is in the upstream's failure domain and has slots of its own.
  const std::vector<std::string> domains = {"a", "b", "b", "b"};
  coordination::instance upstream = Upstream("w-1");
  upstream.failure_domain = "a";
  std::vector<std::unique_ptr<slot_router>> entries;
  for (std::int64_t index = 0; index < 4; ++index) {
    entries.push_back(std::make_unique<slot_router>(
        entry_position{index, 4, domains}, router_options{}, kStart));
    entries.back()->Update({upstream}, kStart);
  }
  base::time_point now = kStart;
  // Entry 1 finds the one entry that can lend within five rounds, whatever the
  // others answer.
  for (int round = 0; round < 5; ++round, now += milliseconds(100))
    for (const outgoing_exchange& sent : entries[1]->PlanExchanges(1, now))
      entries[1]->HandleAnswer(
          sent,
          entries[static_cast<std::size_t>(sent.lender)]->HandleRequest(
              sent.request, 0, now),
          now);
  BOOST_TEST(entries[1]->Acquire({now + milliseconds(100)}, now).has_value());
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamReceivesNoNewRequests) {
  slot_router router({0, 1}, {}, kStart);
  coordination::instance upstream = Upstream("w-1");
  router.Update({upstream}, kStart);
  BOOST_TEST(router.Acquire(kRequest, kStart).has_value());
  upstream.state = coordination::instance_state::kLeaving;
  router.Update({upstream}, kStart);
  BOOST_TEST(!router.Acquire(kRequest, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(ConcurrentRequestsNeverExceedUpstreamSlots) {
  slot_router router({0, 1}, {}, kStart);
  router.Update({Upstream("w-1")}, kStart);
  for (int i = 0; i < 7; ++i)
    BOOST_TEST(router.Acquire(kRequest, kStart).has_value());
  const auto last = router.Acquire(kRequest, kStart);
  BOOST_REQUIRE(last.has_value());
  BOOST_TEST(!router.Acquire(kRequest, kStart).has_value());
  router.Release(*last, slot_outcome::kAnswered, kStart);
  BOOST_TEST(router.Acquire(kRequest, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(SlotsAreNotUsedBeforeUsableFrom) {
  slot_router router({0, 1}, {}, kStart + milliseconds(500));
  router.Update({Upstream("w-1")}, kStart);
  BOOST_TEST(!router.Acquire(kRequest, kStart + milliseconds(499)));
  BOOST_TEST(router.Acquire(kRequest, kStart + milliseconds(500)).has_value());
}

BOOST_AUTO_TEST_CASE(SlotOfAbandonedRequestIsQuarantinedUntilUpstreamAnswers) {
  slot_router router({0, 1}, {}, kStart);
  router.Update({Upstream("w-1")}, kStart);
  const auto ticket = router.Acquire(kRequest, kStart);
  router.Release(*ticket, slot_outcome::kAbandoned, kStart);
  base::time_point now = kStart + std::chrono::hours(1);
  BOOST_TEST(TakeAllSlots(router, now) == 7);
  BOOST_TEST(router.UpstreamsToProbe().size() == 1);
  router.RecordProbeAnswer("w-1", now, now);
  BOOST_TEST(TakeAllSlots(router, now) == 0);
  now += sharing_options().max_overrun;
  BOOST_TEST(TakeAllSlots(router, now) == 1);
}

BOOST_AUTO_TEST_CASE(LentSlotsAreReturnedByExchangeMessage) {
  slot_router lender({0, 2}, {}, kStart);
  slot_router borrower({1, 2}, {}, kStart);
  for (slot_router* router : {&lender, &borrower})
    router->Update({Upstream("w-1"), Upstream("w-2")}, kStart);
  std::vector<slot_ticket> own;
  while (const auto ticket = borrower.Acquire(kRequest, kStart))
    own.push_back(*ticket);
  BOOST_TEST(own.size() == 8);
  Exchange(borrower, lender, 3, kStart);
  BOOST_TEST(lender.Totals(kStart).lent == 5);
  BOOST_TEST(TakeAllSlots(lender, kStart) == 3);
  const auto used = borrower.Acquire({kStart + milliseconds(100)}, kStart);
  BOOST_REQUIRE(used.has_value());
  BOOST_TEST(used->grant.number != 0U);
  borrower.Release(*used, slot_outcome::kAnswered, kStart);
  const base::time_point later = kStart + sharing_options().lease;
  BOOST_TEST(TakeAllSlots(borrower, later) == 0);
  for (const slot_ticket& ticket : own)
    borrower.Release(ticket, slot_outcome::kAnswered, later);
  Exchange(borrower, lender, 0, later);
  BOOST_TEST(lender.Totals(later).lent == 0);
  BOOST_TEST(TakeAllSlots(lender, later) == 5);
}

BOOST_AUTO_TEST_CASE(LenderShortOfSlotsGetsItsLentSlotsBackFirst) {
  slot_router lender({0, 2}, {}, kStart);
  slot_router borrower({1, 2}, {}, kStart);
  for (slot_router* router : {&lender, &borrower})
    router->Update({Upstream("w-1"), Upstream("w-2")}, kStart);
  TakeAllSlots(borrower, kStart);
  Exchange(borrower, lender, 4, kStart);
  const auto used = borrower.Acquire({kStart + milliseconds(100)}, kStart);
  BOOST_REQUIRE(used.has_value());
  TakeAllSlots(lender, kStart);
  Exchange(lender, borrower, 6, kStart);
  BOOST_TEST(TakeAllSlots(borrower, kStart) == 0);
  Exchange(borrower, lender, 0, kStart + milliseconds(30), 6);
  BOOST_TEST(lender.Totals(kStart).lent == 1);
  borrower.Release(*used, slot_outcome::kAnswered, kStart);
  BOOST_TEST(TakeAllSlots(borrower, kStart) == 0);
  Exchange(borrower, lender, 0, kStart + milliseconds(60), 6);
  BOOST_TEST(lender.Totals(kStart).lent == 0);
}

BOOST_AUTO_TEST_CASE(LentSlotsOfDeadBorrowerReturnAfterReclaimDelay) {
  slot_router lender({0, 2}, {}, kStart);
  slot_router borrower({1, 2}, {}, kStart);
  for (slot_router* router : {&lender, &borrower})
    router->Update({Upstream("w-1"), Upstream("w-2")}, kStart);
  TakeAllSlots(borrower, kStart);
  Exchange(borrower, lender, 3, kStart);
  const base::time_point end = kStart + sharing_options().ReclaimDelay();
  BOOST_TEST(TakeAllSlots(lender, end - milliseconds(1)) == 3);
  BOOST_TEST(TakeAllSlots(lender, end) == 0);
  // The upstreams may still be working on these slots: only a later answer
  // makes them free.
  for (const coordination::instance& upstream : lender.UpstreamsToProbe())
    lender.RecordProbeAnswer(upstream.id, end + milliseconds(1), end);
  BOOST_TEST(TakeAllSlots(lender, end + sharing_options().max_overrun) == 5);
}

BOOST_AUTO_TEST_CASE(BorrowedSlotTakesNoRequestWithDeadlineTooFarBeyondLease) {
  slot_router lender({0, 2}, {}, kStart);
  slot_router borrower({1, 2}, {}, kStart);
  for (slot_router* router : {&lender, &borrower})
    router->Update({Upstream("w-1"), Upstream("w-2")}, kStart);
  TakeAllSlots(borrower, kStart);
  Exchange(borrower, lender, 3, kStart);
  const sharing_options options;
  const base::time_point end =
      kStart + options.lease + options.max_request_duration;
  BOOST_TEST(!borrower.Acquire({end + milliseconds(1)}, kStart).has_value());
  BOOST_TEST(borrower.Acquire({end}, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(FailingUpstreamsAreEjectedUpToMaxFraction) {
  slot_router router({0, 1}, {}, kStart);
  std::vector<coordination::instance> listed;
  listed.reserve(10);
  for (int i = 0; i < 10; ++i)
    listed.push_back(Upstream("w-" + std::to_string(i)));
  router.Update(listed, kStart);
  for (int i = 0; i < 200; ++i) {
    const auto ticket = router.Acquire(kRequest, kStart);
    BOOST_REQUIRE(ticket.has_value());
    router.Release(*ticket, slot_outcome::kFailed, kStart);
  }
  BOOST_TEST(router.Totals(kStart).ejected == 4);
}

BOOST_AUTO_TEST_CASE(SlowUpstreamIsAvoidedUnlessWaitingIsLonger) {
  slot_router router({0, 1}, {}, kStart);
  router.Update({Upstream("a"), Upstream("b"), Upstream("slow")}, kStart);
  base::time_point now = kStart;
  for (int i = 0; i < 60; ++i) {
    std::vector<slot_ticket> taken;
    while (const auto ticket = router.Acquire(kRequest, now))
      taken.push_back(*ticket);
    now += milliseconds(20);
    for (const slot_ticket& ticket : taken) {
      if (ticket.upstream.id != "slow")
        router.Release(ticket, slot_outcome::kAnswered, now);
    }
    now += milliseconds(80);
    for (const slot_ticket& ticket : taken) {
      if (ticket.upstream.id == "slow")
        router.Release(ticket, slot_outcome::kAnswered, now);
    }
  }
  std::map<std::string, int> chosen;
  while (const auto ticket = router.Acquire({now, milliseconds(10)}, now))
    ++chosen[ticket->upstream.id];
  BOOST_TEST(chosen["a"] == 8);
  BOOST_TEST(chosen["b"] == 8);
  BOOST_TEST(chosen["slow"] <= 1);
  const slot_request long_wait{now, milliseconds(200)};
  BOOST_TEST(router.Acquire(long_wait, now).has_value());
}

BOOST_AUTO_TEST_CASE(NewUpstreamGetsSlotsGraduallyDuringSlowStart) {
  slot_router router({0, 1}, {}, kStart);
  router.Update({Upstream("w-1")}, kStart);
  BOOST_TEST(TakeAllSlots(router, kStart) == 8);
  router.Update({Upstream("w-1"), Upstream("w-2")}, kStart);
  BOOST_TEST(TakeAllSlots(router, kStart) == 1);
  BOOST_TEST(TakeAllSlots(router, kStart + health_options().slow_start) == 7);
}

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamIsAvoidedBeforeItsRequestsTimeOut) {
  slot_router router({0, 1}, {}, kStart);
  router.Update({Upstream("a"), Upstream("b"), Upstream("silent")}, kStart);
  base::time_point now = kStart;
  std::vector<slot_ticket> taken;
  const auto run = [&](bool all_answer) {
    while (const auto ticket = router.Acquire(kRequest, now))
      taken.push_back(*ticket);
    now += milliseconds(60);
    std::erase_if(taken, [&](const slot_ticket& ticket) {
      const bool answers = all_answer || ticket.upstream.id != "silent";
      if (answers)
        router.Release(ticket, slot_outcome::kAnswered, now);
      return answers;
    });
  };
  run(true);
  BOOST_TEST(router.Capacity(now) == 24);
  for (int i = 0; i < 6; ++i)
    run(false);
  BOOST_TEST(router.Totals(now).free == 16);
  BOOST_TEST(taken.size() == 8);
}

BOOST_AUTO_TEST_CASE(UpstreamsAreNotAvoidedWhenMostAreUnresponsive) {
  slot_router router({0, 1}, {}, kStart);
  router.Update({Upstream("a"), Upstream("b")}, kStart);
  base::time_point now = kStart;
  for (int i = 0; i < 16; ++i) {
    const auto ticket = router.Acquire(kRequest, now);
    now += milliseconds(20);
    router.Release(*ticket, slot_outcome::kAnswered, now);
  }
  for (int i = 0; i < 4; ++i)
    BOOST_TEST(router.Acquire(kRequest, now).has_value());
  now += std::chrono::seconds(10);
  BOOST_TEST(TakeAllSlots(router, now) == 12);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::routing
