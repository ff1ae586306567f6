#include "chivecrank/admission/request_queue.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::admission {
namespace {

using std::chrono::milliseconds;

constexpr service_capacity kCapacity{10, milliseconds(20)};
constexpr base::time_point kNow{std::chrono::seconds(100)};

admission_request MakeRequest(request_number number,
                              const std::string& account,
                              milliseconds deadline) {
  return {number, account, 1, 1000, kNow + deadline};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_queue_suite)

BOOST_AUTO_TEST_CASE(RequestWithEarliestDeadlineIsServedFirst) {
  request_queue queue({});
  queue.Admit(MakeRequest(1, "a", milliseconds(900)), kCapacity, kNow);
  queue.Admit(MakeRequest(2, "b", milliseconds(300)), kCapacity, kNow);
  queue.Admit(MakeRequest(3, "a", milliseconds(600)), kCapacity, kNow);
  BOOST_TEST(*queue.Pop(kNow) == 2U);
  BOOST_TEST(*queue.Pop(kNow) == 3U);
  BOOST_TEST(*queue.Pop(kNow) == 1U);
  BOOST_TEST(!queue.Pop(kNow).has_value());
}

BOOST_AUTO_TEST_CASE(RequestThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  request_queue queue({});
  for (request_number i = 0; i < 100; ++i)
    queue.Admit(MakeRequest(i, "a", milliseconds(5000)), kCapacity, kNow);
  // 100 requests wait for 10 slots with a latency of 20 ms: 200 ms of waiting,
  // and 20 ms until the answer.
  const auto decision =
      queue.Admit(MakeRequest(200, "a", milliseconds(150)), kCapacity, kNow);
  BOOST_TEST((decision.refused.reason == refusal_reason::kTooLate));
  BOOST_TEST(decision.refused.retry_after.count() == 70);
  const auto later =
      queue.Admit(MakeRequest(201, "a", milliseconds(220)), kCapacity, kNow);
  BOOST_TEST(later.IsAdmitted());
}

BOOST_AUTO_TEST_CASE(BurstOfOneAccountDelaysOtherAccountsLittle) {
  request_queue queue({1000, 4});
  for (request_number i = 0; i < 500; ++i)
    queue.Admit(MakeRequest(i, "noisy", milliseconds(2000)), kCapacity, kNow);
  BOOST_TEST(
      queue
          .Admit(MakeRequest(1000, "calm", milliseconds(2100)), kCapacity, kNow)
          .IsAdmitted());
  int before = 0;
  while (*queue.Pop(kNow) != 1000U)
    ++before;
  BOOST_TEST(before <= 6);
}

BOOST_AUTO_TEST_CASE(FullQueueEvictsRequestOfAccountAboveItsShare) {
  request_queue queue({50, 4});
  for (request_number i = 0; i < 50; ++i)
    queue.Admit(MakeRequest(i, "noisy", milliseconds(2000)), kCapacity, kNow);
  const auto calm = queue.Admit(MakeRequest(100, "calm", milliseconds(2000)),
                                kCapacity, kNow);
  BOOST_TEST(calm.IsAdmitted());
  BOOST_TEST(calm.evicted.number == 49U);
  BOOST_TEST((calm.evicted.reason == refusal_reason::kQueueFull));
  const auto noisy = queue.Admit(MakeRequest(101, "noisy", milliseconds(2000)),
                                 kCapacity, kNow);
  BOOST_TEST((noisy.refused.reason == refusal_reason::kQueueFull));
  BOOST_TEST(queue.waiting() == 50);
}

BOOST_AUTO_TEST_CASE(AccountLimitCountsWaitingAndInFlightRequests) {
  request_queue queue({});
  admission_request request = MakeRequest(1, "a", milliseconds(500));
  request.account_limit = 2;
  BOOST_TEST(queue.Admit(request, kCapacity, kNow).IsAdmitted());
  queue.Pop(kNow);
  request.number = 2;
  BOOST_TEST(queue.Admit(request, kCapacity, kNow).IsAdmitted());
  request.number = 3;
  const auto third = queue.Admit(request, kCapacity, kNow);
  BOOST_TEST((third.refused.reason == refusal_reason::kAccountLimit));
  queue.Finish("a");
  BOOST_TEST(queue.Admit(request, kCapacity, kNow).IsAdmitted());
}

BOOST_AUTO_TEST_CASE(WaitingRequestIsRemovedWhenItsDeadlineBecomesInfeasible) {
  request_queue queue({});
  queue.Admit(MakeRequest(1, "a", milliseconds(50)), kCapacity, kNow);
  BOOST_TEST(queue.TakeInfeasible(kCapacity, kNow + milliseconds(30)).empty());
  const auto infeasible =
      queue.TakeInfeasible(kCapacity, kNow + milliseconds(31));
  BOOST_REQUIRE(infeasible.size() == 1);
  BOOST_TEST(infeasible[0].number == 1U);
  BOOST_TEST(queue.waiting() == 0);
}

BOOST_AUTO_TEST_CASE(TimeForSlowAnswerIsReservedOnceRequestHasWaited) {
  const service_capacity skewed_capacity{10, milliseconds(20),
                                         milliseconds(90)};
  request_queue queue({});
  queue.Admit(MakeRequest(1, "a", milliseconds(50)), skewed_capacity, kNow);
  BOOST_TEST(queue.TakeInfeasible(skewed_capacity, kNow).empty());
  BOOST_TEST(
      queue.TakeInfeasible(skewed_capacity, kNow + milliseconds(1)).size() ==
      1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::admission
