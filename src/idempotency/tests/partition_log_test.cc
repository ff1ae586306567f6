#include "chivecrank/idempotency/partition_log.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "tests/faulty_store.h"

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kRetention{10'000};

log_entry Completed(const std::string& id) {
  return {log_entry_kind::kCompleted,
          id,
          7,
          "",
          {201, {{"X-Worker", "w-1"}}, std::string("a\0\xff", 3)}};
}

struct fixture {
  partition_log NewLog(const std::string& writer) {
    return {store, clock, 3, writer, kRetention};
  }

  base::manual_clock clock;
  coordination::memory_store memory{clock};
  faulty_store store{memory};
  partition_log log = NewLog("x");
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(partition_log_suite, fixture)

BOOST_AUTO_TEST_CASE(NextOwnerReadsCompleteEntries) {
  BOOST_REQUIRE(log.Open().value().clean);
  BOOST_REQUIRE(log.Append({Completed("a")}).has_value());
  partition_log next = NewLog("y");
  const log_contents found = next.Open().value();
  BOOST_TEST(!found.clean);
  BOOST_REQUIRE(found.entries.size() == 1);
  BOOST_TEST(found.entries[0].answer.code == 201);
  BOOST_TEST(found.entries[0].answer.body == Completed("a").answer.body);
  BOOST_TEST(found.entries[0].answer.Header("X-Worker") == "w-1");
  BOOST_REQUIRE(next.Close().has_value());
  BOOST_TEST(NewLog("z").Open().value().clean);
}

BOOST_AUTO_TEST_CASE(ReplacedOwnerCannotAppend) {
  BOOST_REQUIRE(log.Open().has_value());
  partition_log next = NewLog("y");
  BOOST_REQUIRE(next.Open().has_value());
  BOOST_TEST(
      (log.Append({Completed("a")}).error().kind == base::error_kind::kFenced));
  BOOST_TEST((log.CheckOwnership().error().kind == base::error_kind::kFenced));
  BOOST_TEST(next.Append({Completed("b")}).has_value());
}

BOOST_AUTO_TEST_CASE(RetriedAppendIsWrittenOnceAfterAnyFault) {
  for (const write_fault fault :
       {write_fault::kUnavailable, write_fault::kLostResponse,
        write_fault::kLostRequest}) {
    BOOST_REQUIRE(log.Open().has_value());
    store.InjectFault(fault);
    BOOST_TEST(!log.Append({Completed("a")}).has_value());
    BOOST_TEST(!log.RetryWrite().has_value());
    store.InjectFault(write_fault::kNone);
    BOOST_TEST(log.RetryWrite().has_value());
    BOOST_REQUIRE(log.Close().has_value());
  }
  BOOST_TEST(NewLog("y").Open().value().entries.size() == 3);
}

BOOST_AUTO_TEST_CASE(SegmentsAreSealedAndExpiredWithoutLosingEntries) {
  BOOST_REQUIRE(log.Open().has_value());
  constexpr int entries = 2000;
  for (int i = 0; i < entries; ++i) {
    // Makes every 50th append fail, so that sealing and appending meet both
    // kinds of fault.
    if (i % 50 == 49)
      store.InjectFault(i % 100 == 99 ? write_fault::kLostResponse
                                      : write_fault::kUnavailable);
    bool written = log.Append({Completed(std::to_string(i))}).has_value();
    store.InjectFault(write_fault::kNone);
    while (!written)
      written = log.RetryWrite().has_value();
  }
  partition_log next = NewLog("y");
  BOOST_TEST(next.Open().value().entries.size() == entries);
  clock.Advance(2 * kRetention);
  BOOST_REQUIRE(next.Append({Completed("last")}).has_value());
  BOOST_TEST(memory.List(coordination::call_class::kIntent, "requests/3/")
                 .value()
                 .entries.size() <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::idempotency
