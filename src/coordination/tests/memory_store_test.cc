#include "chivecrank/coordination/memory_store.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::coordination {
namespace {

constexpr call_class kAny = call_class::kJournal;
constexpr std::chrono::milliseconds kTerm{1000};

struct fixture {
  base::manual_clock clock;
  memory_store store{clock};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(memory_store_suite, fixture)

BOOST_AUTO_TEST_CASE(PutWithAnOldVersionConflicts) {
  const auto created = store.Put(kAny, {"a", "1", 0, 0});
  BOOST_REQUIRE(created.has_value());
  const auto again = store.Put(kAny, {"a", "2", 0, 0});
  BOOST_TEST((again.error().kind == base::error_kind::kConflict));
  BOOST_TEST(store.Put(kAny, {"a", "2", created.value(), 0}).has_value());
  BOOST_TEST(store.Get(kAny, "a").value()->value == "2");
}

BOOST_AUTO_TEST_CASE(KeysAreDeletedWhenTheirLeaseExpires) {
  const lease_id lease = store.GrantLease(kTerm).value();
  BOOST_REQUIRE(store.Put(kAny, {"a", "1", 0, lease}).has_value());
  clock.Advance(kTerm / 2);
  BOOST_REQUIRE(store.RenewLease(lease).has_value());
  clock.Advance(kTerm / 2);
  BOOST_TEST(store.Get(kAny, "a").value().has_value());
  clock.Advance(kTerm);
  BOOST_TEST(!store.Get(kAny, "a").value().has_value());
  BOOST_TEST(
      (store.RenewLease(lease).error().kind == base::error_kind::kNotFound));
}

BOOST_AUTO_TEST_CASE(WatchReturnsEachChangeUnderThePrefixOnce) {
  BOOST_REQUIRE(store.Put(kAny, {"p/a", "1", 0, 0}).has_value());
  const revision first = store.List(kAny, "p/").value().revision;
  BOOST_REQUIRE(store.Put(kAny, {"q/a", "1", 0, 0}).has_value());
  BOOST_REQUIRE(store.Put(kAny, {"p/b", "1", 0, 0}).has_value());
  const watch_answer seen = store.Watch({"p/", first, {}}).value();
  BOOST_REQUIRE(seen.changes.size() == 1);
  BOOST_TEST(seen.changes[0].entry.key == "p/b");
  BOOST_TEST(!seen.gap);
  BOOST_TEST(store.Watch({"p/", seen.revision, {}}).value().changes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::coordination
