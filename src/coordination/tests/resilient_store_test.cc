#include "chivecrank/coordination/resilient_store.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"

namespace chivecrank::coordination {
namespace {

constexpr call_class kClass = call_class::kConfiguration;

/// A store that can be unavailable or lose the responses of writes.
class failing_store final : public memory_store {
 public:
  using memory_store::memory_store;

  base::result<std::optional<store_entry>> Get(
      call_class purpose,
      const std::string& key) override {
    ++calls;
    if (down)
      return base::error{base::error_kind::kUnavailable, "down", ""};
    return memory_store::Get(purpose, key);
  }
  base::result<version> Put(call_class purpose,
                            const put_request& write) override {
    auto answer = memory_store::Put(purpose, write);
    if (loses_responses)
      return base::error{base::error_kind::kOutcomeUnknown, "lost", ""};
    return answer;
  }

  int calls = 0;
  bool down = false;
  bool loses_responses = false;
};

resilient_store_settings OneAttempt() {
  resilient_store_settings settings;
  settings.max_read_attempts = 1;
  return settings;
}

struct fixture {
  base::manual_clock clock;
  failing_store inner{clock};
  prometheus::Registry registry;
  store_metrics metrics{registry};
  resilient_store resilient{inner, clock, metrics, OneAttempt()};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(resilient_store_suite, fixture)

BOOST_AUTO_TEST_CASE(OpenCircuitBlocksAllButOwnershipCalls) {
  inner.down = true;
  for (int i = 0; i < 50; ++i)
    BOOST_TEST(!resilient.Get(kClass, "k").has_value());
  BOOST_TEST(inner.calls == 5);
  BOOST_TEST(!resilient.Get(call_class::kOwnership, "k").has_value());
  BOOST_TEST(inner.calls == 6);
  inner.down = false;
  clock.Advance(std::chrono::seconds(1));
  BOOST_TEST(resilient.Get(kClass, "k").has_value());
  BOOST_TEST(resilient.Get(kClass, "k").has_value());
}

BOOST_AUTO_TEST_CASE(WriteWithALostResponseIsReadBack) {
  inner.loses_responses = true;
  const auto first = resilient.Put(kClass, {"k", "writer 1", 0, 0});
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(inner.Get(kClass, "k").value()->version == first.value());
  const auto second = resilient.Put(kClass, {"k", "writer 2", 0, 0});
  BOOST_TEST((second.error().kind == base::error_kind::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(RateLimiterDelaysCallsThenRejectsThem) {
  rate_limiter limiter({10, 2});
  const base::time_point now = clock.Now();
  const base::time_point latest = now + std::chrono::milliseconds(150);
  BOOST_TEST((limiter.Reserve(now, latest) == now));
  BOOST_TEST((limiter.Reserve(now, latest) == now));
  BOOST_TEST(
      (limiter.Reserve(now, latest) == now + std::chrono::milliseconds(100)));
  BOOST_TEST((limiter.Reserve(now, latest) > latest));
  clock.Advance(std::chrono::seconds(1));
  BOOST_TEST((limiter.Reserve(clock.Now(), clock.Now()) == clock.Now()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::coordination
