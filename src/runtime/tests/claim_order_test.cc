#include "chivecrank/runtime/claim_order.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::runtime {
namespace {

using std::chrono::milliseconds;

const claim_order_settings kSettings;

milliseconds DelayOf(const std::vector<claim_candidate>& candidates,
                     std::string_view node,
                     std::int64_t previous_owner_milli) {
  return ClaimDelay(candidates, {node, "0", previous_owner_milli}, kSettings);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(claim_order)

BOOST_AUTO_TEST_CASE(TheLargestClaimsAtOnce) {
  const std::vector<claim_candidate> all = {
      {"small", 69}, {"large", 500}, {"middle", 250}};
  BOOST_TEST(DelayOf(all, "large", 500).count() == 0);
  BOOST_TEST((DelayOf(all, "middle", 500) == kSettings.stagger));
}

BOOST_AUTO_TEST_CASE(OwnedShardsCountAgainstACandidate) {
  const std::vector<claim_candidate> all = {{"busy", 500, 1}, {"free", 400}};
  BOOST_TEST(DelayOf(all, "free", 500).count() == 0);
  BOOST_TEST((DelayOf(all, "busy", 500) == kSettings.stagger));
}

BOOST_AUTO_TEST_CASE(ASmallOneWaitsForLargerOnesThatMayReturn) {
  const std::vector<claim_candidate> alone = {{"small", 69}};
  BOOST_TEST((DelayOf(alone, "small", 500) == kSettings.larger_return_time));
  BOOST_TEST(DelayOf(alone, "small", 69).count() == 0);
  BOOST_TEST(DelayOf(alone, "small", 0).count() == 0);
}

BOOST_AUTO_TEST_CASE(EqualCandidatesAllHaveDifferentDelays) {
  const std::vector<claim_candidate> all = {{"a", 100}, {"b", 100}, {"c", 100}};
  const milliseconds sum =
      DelayOf(all, "a", 100) + DelayOf(all, "b", 100) + DelayOf(all, "c", 100);
  BOOST_TEST((sum == kSettings.stagger * 3));
}

BOOST_AUTO_TEST_CASE(TheLargestThreeAreTheFirst) {
  const std::vector<claim_candidate> all = {
      {"a", 69}, {"b", 500}, {"c", 500}, {"d", 69}, {"e", 250}};
  int first = 0;
  for (const claim_candidate& candidate : all)
    first += IsAmongFirst(all, candidate.node) ? 1 : 0;
  BOOST_TEST(first == 3);
  BOOST_TEST(IsAmongFirst(all, "e"));
  BOOST_TEST(!IsAmongFirst(all, "a"));
  BOOST_TEST(!IsAmongFirst({}, "a"));
  BOOST_TEST(IsAmongFirst({{"a", 69}}, "a"));
}

BOOST_AUTO_TEST_CASE(AnOwnerYieldsOnlyToAMuchLargerOne) {
  BOOST_TEST(HasMuchLargerCandidate({{"own", 69, 1}, {"other", 500}}, "own"));
  BOOST_TEST(!HasMuchLargerCandidate({{"own", 300, 1}, {"other", 500}}, "own"));
  // The other one has a shard already: nothing would be gained.
  BOOST_TEST(
      !HasMuchLargerCandidate({{"own", 300, 1}, {"other", 500, 1}}, "own"));
  // One of two shards is better off on its own.
  BOOST_TEST(HasMuchLargerCandidate({{"own", 500, 2}, {"other", 500}}, "own"));
  BOOST_TEST(!HasMuchLargerCandidate({{"own", 69, 0}, {"other", 500}}, "own"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
