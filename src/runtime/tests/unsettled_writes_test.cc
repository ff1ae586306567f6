#include <boost/test/unit_test.hpp>

#include <string>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/runtime/unsettled_writes.h"

namespace chivecrank::runtime {
namespace {

constexpr std::chrono::seconds kHorizon{10};
constexpr std::chrono::milliseconds kMoment{1};

struct fixture {
  void WriteAndEnd(const std::string& id, write_outcome outcome) {
    writes.Begin(id);
    writes.End(id, outcome, clock.Now());
  }

  bool IsOpen(const std::string& id) const {
    return writes.Contains(id, clock.Now());
  }

  base::manual_clock clock;
  unsettled_writes writes{kHorizon};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unsettled_writes_suite, fixture)

BOOST_AUTO_TEST_CASE(AWriteIsOpenWhileItIsUnderWay) {
  BOOST_TEST(!IsOpen("a"));
  writes.Begin("a");
  BOOST_TEST(IsOpen("a"));
  BOOST_TEST(!IsOpen("b"));
  writes.End("a", write_outcome::kNotWritten, clock.Now());
  BOOST_TEST(!IsOpen("a"));
}

BOOST_AUTO_TEST_CASE(AWriteWithoutAnOutcomeStaysOpenForTheHorizon) {
  WriteAndEnd("a", write_outcome::kUnknown);
  clock.Advance(kHorizon - kMoment);
  BOOST_TEST(IsOpen("a"));
  clock.Advance(kMoment);
  BOOST_TEST(!IsOpen("a"));
}

/// The second attempt was rejected, which tells nothing of the first.
BOOST_AUTO_TEST_CASE(ARejectedWriteDoesNotTellOfAnEarlierOne) {
  WriteAndEnd("a", write_outcome::kUnknown);
  WriteAndEnd("a", write_outcome::kNotWritten);
  BOOST_TEST(IsOpen("a"));
}

BOOST_AUTO_TEST_CASE(AnOutcomeOfALaterWriteTellsOfAllBefore) {
  for (const write_outcome outcome :
       {write_outcome::kWritten, write_outcome::kKeyExists}) {
    WriteAndEnd("a", write_outcome::kUnknown);
    WriteAndEnd("a", outcome);
    BOOST_TEST(!IsOpen("a"));
  }
}

BOOST_AUTO_TEST_CASE(ARevocationSettlesWhatHasEndedOnly) {
  WriteAndEnd("a", write_outcome::kUnknown);
  writes.Begin("b");
  writes.Settle("a");
  writes.Settle("b");
  writes.Settle("unknown");
  BOOST_TEST(!IsOpen("a"));
  BOOST_TEST(IsOpen("b"));
}

BOOST_AUTO_TEST_CASE(WhatIsOverIsNotKept) {
  for (int i = 0; i < 1000; ++i)
    WriteAndEnd(std::to_string(i), write_outcome::kUnknown);
  BOOST_TEST(writes.Size() == 1000U);
  clock.Advance(kHorizon);
  WriteAndEnd("a", write_outcome::kWritten);
  BOOST_TEST(writes.Size() == 0U);
}

/// An identifier that was used again is kept for the later write.
BOOST_AUTO_TEST_CASE(TheLastWriteCounts) {
  WriteAndEnd("a", write_outcome::kUnknown);
  clock.Advance(kHorizon / 2);
  WriteAndEnd("a", write_outcome::kUnknown);
  clock.Advance(kHorizon / 2);
  WriteAndEnd("b", write_outcome::kWritten);
  BOOST_TEST(IsOpen("a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
