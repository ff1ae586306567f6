#include "chivecrank/journal/shard_journal.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/platform/memory_store.h"

namespace chivecrank::journal {
namespace {

struct fixture {
  base::manual_clock clock;
  platform::memory_store store{clock};
};

scheduling::event Cancelled(const std::string& id) {
  return scheduling::task_cancelled{id};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_journal_suite, fixture)

BOOST_AUTO_TEST_CASE(NextOwnerReadsEveryEvent) {
  shard_journal first(store, "s", "one");
  BOOST_REQUIRE(first.Open(1).has_value());
  BOOST_REQUIRE(first.Append({Cancelled("a"), Cancelled("b")}).has_value());
  shard_journal second(store, "s", "two");
  const auto records = second.Open(2);
  BOOST_REQUIRE(records.has_value());
  BOOST_REQUIRE(records.value().size() == 2);
  BOOST_TEST(records.value()[1].events.size() == 2);
}

BOOST_AUTO_TEST_CASE(FormerOwnerIsFenced) {
  shard_journal first(store, "s", "one");
  BOOST_REQUIRE(first.Open(1).has_value());
  shard_journal second(store, "s", "two");
  BOOST_REQUIRE(second.Open(2).has_value());
  const auto late = first.Append({Cancelled("a")});
  BOOST_TEST((late.error().kind == base::error_kind::kFenced));
  BOOST_TEST((first.Open(1).error().kind == base::error_kind::kFenced));
}

BOOST_AUTO_TEST_CASE(CorruptRecordIsNotSkipped) {
  BOOST_REQUIRE(store
                    .Put(platform::call_class::kJournal,
                         {"shards/s/journal/000000000001", "{}", 0, 0})
                    .has_value());
  shard_journal first(store, "s", "one");
  BOOST_TEST((first.Open(1).error().kind == base::error_kind::kCorrupt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::journal
