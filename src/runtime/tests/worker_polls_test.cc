#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/runtime/worker_polls.h"

namespace chivecrank::runtime {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kBorn = 1'700'000'000'000;

/// Polls that are recorded.
struct fixture {
  void Run(milliseconds time) {
    clock.Advance(time);
    loop.RunOnce(base::milliseconds(0));
  }

  base::manual_clock clock;
  reactor::event_loop loop{clock};
  std::vector<std::string> polled;
  worker_polls polls{
      loop, [this](const std::string& worker) { polled.push_back(worker); }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_polls_suite, fixture)

BOOST_AUTO_TEST_CASE(TheEarliestOfScheduledPollsHolds) {
  polls.Schedule("w", milliseconds(100));
  polls.Schedule("w", milliseconds(300));
  Run(milliseconds(100));
  BOOST_TEST(polled.size() == 1u);
  Run(milliseconds(300));
  BOOST_TEST(polled.size() == 1u);
}

BOOST_AUTO_TEST_CASE(NoPollIsScheduledWhileOneIsInFlight) {
  const std::uint64_t number = polls.OnSent("w");
  polls.Schedule("w", milliseconds(0));
  Run(milliseconds(100));
  BOOST_TEST(polled.empty());
  BOOST_TEST(polls.OnEnded("w", number, kBorn));
  polls.Schedule("w", milliseconds(0));
  Run(milliseconds(100));
  BOOST_TEST(polled.size() == 1u);
}

BOOST_AUTO_TEST_CASE(TheLastAnswerTellsTheIncarnation) {
  BOOST_TEST(polls.Incarnation("w") == 0);
  polls.OnEnded("w", polls.OnSent("w"), kBorn);
  BOOST_TEST(polls.WasAnswered("w"));
  polls.OnEnded("w", polls.OnSent("w"), {});
  BOOST_TEST(!polls.WasAnswered("w"));
  BOOST_TEST(polls.Incarnation("w") == kBorn);
}

/// An answer that came after its worker was forgotten began polls of it anew.
BOOST_AUTO_TEST_CASE(TheAnswerOfAForgottenWorkerIsIgnored) {
  const std::uint64_t before = polls.OnSent("w");
  polls.Forget("w");
  BOOST_TEST(!polls.OnEnded("w", before, kBorn));
  BOOST_TEST(!polls.Contains("w"));
  polls.OnSent("w");
  BOOST_TEST(!polls.OnEnded("w", before, kBorn));
}

BOOST_AUTO_TEST_CASE(AForgottenWorkerIsNotPolled) {
  polls.Schedule("w", milliseconds(100));
  polls.Forget("w");
  Run(milliseconds(200));
  BOOST_TEST(polled.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
