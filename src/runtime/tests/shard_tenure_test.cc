#include <boost/test/unit_test.hpp>

#include "chivecrank/runtime/shard_tenure.h"

namespace chivecrank::runtime {
namespace {

constexpr metadata::revision kFence = 7;

}  // namespace

BOOST_AUTO_TEST_SUITE(shard_tenure_suite)

BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  const tenure_record written{.fence = kFence, .settled = true};
  BOOST_TEST((DecodeTenure(EncodeTenure(written)) == written));
  BOOST_TEST(!DecodeTenure("settled").has_value());
}

BOOST_AUTO_TEST_CASE(AnOwnerThatReleasedTheShardHasEnded) {
  tenure_record last{.fence = kFence, .settled = true, .released = true};
  BOOST_TEST(AllEarlierOwnersEnded(last, 0));
  last.released = false;
  BOOST_TEST(!AllEarlierOwnersEnded(last, 0));
}

BOOST_AUTO_TEST_CASE(OnlyTheLastOwnerThatIsKnownToHaveEndedCounts) {
  const tenure_record last{.fence = kFence, .settled = true};
  BOOST_TEST(AllEarlierOwnersEnded(last, kFence));
  // Another owner recorded a tenure after that process.
  BOOST_TEST(!AllEarlierOwnersEnded(last, kFence - 1));
}

BOOST_AUTO_TEST_CASE(OwnersBeforeAnUnsettledOneMayStillAct) {
  const tenure_record last{.fence = kFence, .released = true};
  BOOST_TEST(!AllEarlierOwnersEnded(last, kFence));
  BOOST_TEST(!AllEarlierOwnersEnded(std::nullopt, kFence));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
