#include "chivecrank/idempotency/partition_home.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "chivecrank/base/system_clock.h"
#include "tests/faulty_store.h"

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kLongTimeout{5000};
constexpr std::chrono::milliseconds kShortTimeout{300};
constexpr time_limits kLongLimits{kLongTimeout, kLongTimeout};
constexpr time_limits kShortLimits{kShortTimeout, kShortTimeout};

home_settings Settings() {
  home_settings settings;
  settings.unrecorded_send_delay = std::chrono::milliseconds(20);
  settings.mean_write_interval = std::chrono::milliseconds(1);
  settings.retry_interval = std::chrono::milliseconds(10);
  return settings;
}

log_entry Completed(const arrival& request) {
  return {log_entry_kind::kCompleted,
          request.request_id,
          request.fingerprint,
          request.token,
          {200, {}, "whole"}};
}

struct fixture {
  std::unique_ptr<partition_home> Open(const std::string& writer) {
    auto home =
        std::make_unique<partition_home>(store, clock, 0, writer, Settings());
    BOOST_REQUIRE(home->Open().has_value());
    return home;
  }

  arrival Arrival(const std::string& key, bool first) {
    return {"hotel/" + key, 7, "t" + std::to_string(++arrivals), first};
  }

  static verdict Begin(partition_home& home, const arrival& request) {
    const auto decided = home.Begin(request, kShortLimits);
    BOOST_REQUIRE(decided.has_value());
    return decided.value().verdict;
  }

  base::system_clock clock;
  coordination::memory_store memory{clock};
  faulty_store store{memory};
  int arrivals = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(partition_home_suite, fixture)

BOOST_AUTO_TEST_CASE(RepeatWaitsForAndGetsTheRecordedAnswer) {
  auto home = Open("x");
  const arrival sent = Arrival("k", true);
  BOOST_TEST((Begin(*home, sent) == verdict::kRun));
  // All checks run on this thread, because Boost.Test's log is not thread-safe.
  std::optional<decision> repeat_decision;
  std::thread repeat([&] {
    repeat_decision = home->Begin(Arrival("k", false), kLongLimits).value();
  });
  BOOST_TEST(home->Finish(Completed(sent)).has_value());
  repeat.join();
  BOOST_TEST((repeat_decision->verdict == verdict::kReplay));
  BOOST_TEST(repeat_decision->answer.body == "whole");
  home->Close(kLongTimeout);
  BOOST_TEST((Begin(*Open("y"), Arrival("k", false)) == verdict::kReplay));
}

// The home is lost, with the store failing, after each of its writes in turn.
BOOST_AUTO_TEST_CASE(NoKeyRunsTwiceWhicheverWriteTheHomeIsLostAfter) {
  for (const write_fault fault :
       {write_fault::kUnavailable, write_fault::kLostResponse,
        write_fault::kLostRequest}) {
    for (int after = 0; after < 4; ++after) {
      for (const bool first : {true, false}) {
        const std::string key = std::to_string(arrivals);
        auto home = Open("x" + key);
        // Opening has already read and written the head. The next writes are
        // those of the intent, the outcome and the closing.
        store.InjectFault(fault, after);
        const arrival sent = Arrival(key, first);
        const auto decision_of_first = home->Begin(sent, kShortLimits);
        int runs = decision_of_first.has_value() &&
                   decision_of_first.value().verdict == verdict::kRun;
        if (runs > 0)
          static_cast<void>(home->Finish(Completed(sent)));
        if (after % 2 == 1)
          home->Close(kShortTimeout);
        home.reset();
        store.InjectFault(write_fault::kNone);
        auto next = Open("y" + key);
        const auto decision_of_repeat =
            next->Begin(Arrival(key, false), kShortLimits);
        runs += decision_of_repeat.value().verdict == verdict::kRun;
        BOOST_TEST(runs <= 1);
        if (first)
          BOOST_TEST((decision_of_first.value().verdict == verdict::kRun));
        next->Close(kShortTimeout);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(FirstAttemptsRunDuringStoreOutageAndAreRecordedAfterIt) {
  auto home = Open("x");
  store.InjectFault(write_fault::kUnavailable);
  const arrival sent = Arrival("k", true);
  BOOST_TEST((Begin(*home, sent) == verdict::kRun));
  BOOST_TEST((Begin(*home, Arrival("other", false)) == verdict::kPending));
  BOOST_TEST(home->Finish(Completed(sent)).has_value());
  BOOST_TEST((Begin(*home, Arrival("k", false)) == verdict::kReplay));
  store.InjectFault(write_fault::kNone);
  home->Close(kLongTimeout);
  auto next = Open("y");
  BOOST_TEST((Begin(*next, Arrival("k", false)) == verdict::kReplay));
  BOOST_TEST((Begin(*next, Arrival("new", false)) == verdict::kRun));
}

BOOST_AUTO_TEST_CASE(RequestsStayInFlightAcrossHandover) {
  auto home = Open("x");
  const arrival sent = Arrival("k", false);
  const arrival withdrawn = Arrival("w", false);
  BOOST_TEST((Begin(*home, sent) == verdict::kRun));
  BOOST_TEST((Begin(*home, withdrawn) == verdict::kRun));
  home->Close(kLongTimeout);
  auto next = Open("y");
  BOOST_TEST((Begin(*next, Arrival("k", false)) == verdict::kPending));
  BOOST_TEST((home->Finish(Completed(sent)).error().kind ==
              base::error_kind::kFenced));
  BOOST_TEST(next->Finish(Completed(sent)).has_value());
  BOOST_TEST((Begin(*next, Arrival("k", false)) == verdict::kReplay));
  log_entry undone = Completed(withdrawn);
  undone.kind = log_entry_kind::kWithdrawn;
  BOOST_TEST(next->Finish(undone).has_value());
  BOOST_TEST((Begin(*next, Arrival("w", false)) == verdict::kRun));
}

BOOST_AUTO_TEST_CASE(ReplacedHomeAdmitsNoRequest) {
  auto home = Open("x");
  auto next = Open("y");
  const auto refused = home->Begin(Arrival("k", false), kLongLimits);
  BOOST_TEST((refused.error().kind == base::error_kind::kFenced));
  BOOST_TEST((Begin(*next, Arrival("k", true)) == verdict::kRun));
}

BOOST_AUTO_TEST_CASE(ConcurrentRequestsAreRecordedInSharedWrites) {
  auto home = Open("x");
  const int before = store.writes();
  constexpr std::size_t requests = 64;
  std::vector<std::thread> threads;
  threads.reserve(requests);
  for (std::size_t i = 0; i < requests; ++i) {
    threads.emplace_back([&home, sent = Arrival(std::to_string(i), true)] {
      static_cast<void>(home->Begin(sent, kLongLimits));
      static_cast<void>(home->Finish(Completed(sent)));
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  home->Close(kLongTimeout);
  BOOST_TEST(store.writes() - before < static_cast<int>(requests));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::idempotency
