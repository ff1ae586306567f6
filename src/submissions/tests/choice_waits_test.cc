#include "internal/choice_waits.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::submissions::internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{2000};
constexpr milliseconds kRound{200};

struct waiting_tasks {
  /// Rounds in which no worker takes the task. Returns how often the wait was
  /// told of.
  int Wait(const task_ref& task, bool failed_before, milliseconds time) {
    int told = 0;
    for (const base::time_point end = now + time; now < end; now += kRound) {
      waits.BeginRound(now);
      told += waits.OnNoWorker(task, failed_before, now) ? 1 : 0;
    }
    return told;
  }

  choice_waits waits{kLimit};
  base::time_point now = base::time_point(std::chrono::hours(1));
  const task_ref first{"a", 0, 0, 0};
  const task_ref second{"a", 0, 0, 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(choice_waits_suite, waiting_tasks)

BOOST_AUTO_TEST_CASE(AWaitIsToldOfOnceWhenItReachesTheLimit) {
  BOOST_TEST(Wait(first, true, kLimit) == 0);
  BOOST_TEST(Wait(first, true, kLimit) == 1);
  BOOST_TEST(waits.HasWaited(first, true, now));
  BOOST_TEST(!waits.HasWaited(second, true, now));
}

BOOST_AUTO_TEST_CASE(TasksThatNeverFailedWaitTogether) {
  Wait(first, false, kLimit + kRound);
  BOOST_TEST(waits.HasWaited(second, false, now));
  waits.OnPlaced(second, false);
  BOOST_TEST(!waits.HasWaited(first, false, now));
}

BOOST_AUTO_TEST_CASE(ATaskThatIsNoLongerLookedAtIsForgotten) {
  Wait(first, true, kLimit + kRound);
  now += std::chrono::seconds(2);
  waits.BeginRound(now);
  BOOST_TEST(!waits.HasWaited(first, true, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
