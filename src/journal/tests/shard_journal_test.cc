#include "chivecrank/journal/shard_journal.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/journal/record_codec.h"

namespace chivecrank::journal {
namespace {

struct fixture {
  base::manual_clock clock;
  coordination::memory_store store{clock};
};

scheduling::event Cancelled(const std::string& id) {
  return scheduling::task_cancelled{id};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_journal_suite, fixture)

BOOST_AUTO_TEST_CASE(NextOwnerReadsAllEvents) {
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

BOOST_AUTO_TEST_CASE(SlotsAreReusedAfterSnapshots) {
  const journal_limits limits{16, 8, 400};
  shard_journal first(store, "s", "one", limits);
  BOOST_REQUIRE(first.Open(1).has_value());
  std::vector<scheduling::event> all;
  for (int i = 0; i < 100; ++i) {
    all.push_back(Cancelled(std::to_string(i)));
    BOOST_REQUIRE(first.Append({all.back()}).has_value());
    if (first.IsSnapshotDue())
      BOOST_REQUIRE(first.WriteSnapshot(all).has_value());
  }
  shard_journal second(store, "s", "two", limits);
  const auto records = second.Open(2);
  BOOST_REQUIRE(records.has_value());
  std::size_t events = 0;
  for (const record& read : records.value())
    events += read.events.size();
  BOOST_TEST(events == 100);
}

BOOST_AUTO_TEST_CASE(FullRingRejectsAppendsWithoutSnapshot) {
  shard_journal first(store, "s", "one", {16, 8, 900'000});
  BOOST_REQUIRE(first.Open(1).has_value());
  int written = 0;
  while (first.Append({Cancelled("a")}).has_value())
    ++written;
  BOOST_TEST(written < 16);
  BOOST_TEST((first.Append({Cancelled("a")}).error().kind ==
              base::error_kind::kResourceExhausted));
  BOOST_TEST(
      shard_journal(store, "s", "two", {16, 8, 900'000}).Open(2).has_value());
}

BOOST_AUTO_TEST_CASE(DecodeRejectsTruncatedOrChangedRecord) {
  const std::string encoded =
      EncodeRecord({1, 1, "one", {Cancelled("a"), Cancelled("b")}});
  BOOST_TEST(DecodeRecord(encoded).has_value());
  for (std::size_t size = 0; size + 4 < encoded.size(); ++size)
    BOOST_TEST(!DecodeRecord(encoded.substr(0, size)).has_value());
  std::string changed = encoded;
  changed[encoded.size() / 2] = changed[encoded.size() / 2] == 'A' ? 'B' : 'A';
  BOOST_TEST(!DecodeRecord(changed).has_value());
}

BOOST_AUTO_TEST_CASE(OpenFailsWhenRecordIsMissing) {
  shard_journal first(store, "s", "one");
  BOOST_REQUIRE(first.Open(1).has_value());
  BOOST_REQUIRE(first.Append({Cancelled("a")}).has_value());
  BOOST_REQUIRE(first.Append({Cancelled("b")}).has_value());
  const std::string key = "shards/s/journal/000000000002";
  const auto entry = store.Get(coordination::call_class::kJournal, key).value();
  BOOST_REQUIRE(
      store.Delete(coordination::call_class::kJournal, key, entry->version)
          .has_value());
  BOOST_TEST((shard_journal(store, "s", "two").Open(2).error().kind ==
              base::error_kind::kCorrupt));
}

BOOST_AUTO_TEST_CASE(OpenFailsWhenRecordIsUnreadable) {
  BOOST_REQUIRE(store
                    .Put(coordination::call_class::kJournal,
                         {"shards/s/journal/000000000001", "{}", 0, 0})
                    .has_value());
  shard_journal first(store, "s", "one");
  BOOST_TEST((first.Open(1).error().kind == base::error_kind::kCorrupt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::journal
