#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <string>

#include "model.h"
#include "search.h"

namespace chivecrank::lease_model {
namespace {

/// Keeps a run short under the sanitizers; CHIVECRANK_MODEL_STATES raises it.
constexpr std::size_t kStates = 5'000;
/// More states than the complete search has, and than each fault needs.
constexpr std::size_t kAllStates = 60'000;

model_checker::search_result Find(const model_options& options,
                                  std::size_t limit) {
  const char* asked = std::getenv("CHIVECRANK_MODEL_STATES");
  if (asked != nullptr)
    limit = std::max<std::size_t>(limit, std::stoul(asked));
  model_checker::search_result result =
      model_checker::Search(InitialState(options), Successors, limit);
  BOOST_TEST_MESSAGE(model_checker::Describe(result));
  return result;
}

/// Returns the rule that the search found broken; empty for none.
std::string Check(const model_options& options) {
  return Find(options, kStates).broken;
}

std::string CheckFault(model_options options, planted_fault fault) {
  options.fault = fault;
  return Find(options, kAllStates).broken;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(lease_model_suite)

BOOST_AUTO_TEST_CASE(NoSecondRunWhileASilentWorkerLives) {
  const auto result = Find({}, kAllStates);
  BOOST_TEST(result.broken == "");
  BOOST_TEST(result.complete);
}

BOOST_AUTO_TEST_CASE(NoSecondRunAfterASnapshot) {
  BOOST_TEST(Check({.snapshots = 1}) == "");
}

BOOST_AUTO_TEST_CASE(NoSecondRunAfterACrash) {
  BOOST_TEST(Check({.crashes = 1}) == "");
}

BOOST_AUTO_TEST_CASE(NoSecondRunOnAnUnlistedWorker) {
  BOOST_TEST(Check({.listing_changes = 2}) == "");
}

BOOST_AUTO_TEST_CASE(NoSecondRunWithLateLeases) {
  BOOST_TEST(Check({.late_messages = 1}) == "");
}

BOOST_AUTO_TEST_CASE(NoSecondRunWithALateStart) {
  BOOST_TEST(Check({.starts_late = true}) == "");
}

BOOST_AUTO_TEST_CASE(NoSecondRunWithThreeOwners) {
  BOOST_TEST(Check({.claims = 2}) == "");
}

BOOST_AUTO_TEST_CASE(NoSecondRunWithLateLeasesOfThreeOwners) {
  BOOST_TEST(Check({.claims = 2, .late_messages = 1}) == "");
}

BOOST_AUTO_TEST_CASE(TheWaitGoesOnAcrossFourOwners) {
  BOOST_TEST(Check({.claims = 3, .crashes = 1, .steady_owners = true}) == "");
}

BOOST_AUTO_TEST_CASE(TheWaitGoesOnAcrossSnapshotsAndListings) {
  const model_options options{.claims = 2,
                              .crashes = 1,
                              .snapshots = 1,
                              .listing_changes = 1,
                              .steady_owners = true};
  BOOST_TEST(Check(options) == "");
}

BOOST_AUTO_TEST_CASE(FaultsThatAllowASecondRunAreFound) {
  for (const planted_fault fault :
       {planted_fault::kLeaseWhileBounded, planted_fault::kWaitFromBeforeClaim,
        planted_fault::kReleaseIgnored, planted_fault::kOwnerTermIgnored,
        planted_fault::kCommitAfterClaim, planted_fault::kAnswerBeforeCommit})
    BOOST_TEST(CheckFault({}, fault) == kEarlyStart);
}

BOOST_AUTO_TEST_CASE(AStartAfterItsLeaseIsFound) {
  BOOST_TEST(CheckFault({.starts_late = true},
                        planted_fault::kStartAfterItsLease) == kTwoRuns);
}

BOOST_AUTO_TEST_CASE(ALateLeaseAfterAnAnswerToTheNextOwnerIsFound) {
  BOOST_TEST(CheckFault({.late_messages = 1},
                        planted_fault::kLateFenceIgnored) == kEarlyStart);
}

BOOST_AUTO_TEST_CASE(AnAnswerThatShortensNothingIsFound) {
  BOOST_TEST(CheckFault({}, planted_fault::kAnswerShortensNothing) ==
             kAnswerIgnored);
}

BOOST_AUTO_TEST_CASE(FaultsThatLetTheWaitStartAnewAreFound) {
  const model_options options{
      .claims = 2, .crashes = 1, .snapshots = 1, .steady_owners = true};
  BOOST_TEST(CheckFault(options, planted_fault::kNoBounds) == kWaitStartsAnew);
  BOOST_TEST(CheckFault(options, planted_fault::kSnapshotWithoutWorkers) ==
             kWaitStartsAnew);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::lease_model
