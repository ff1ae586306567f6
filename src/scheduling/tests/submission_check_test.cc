#include "chivecrank/scheduling/submission_check.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::scheduling {
namespace {

const std::vector<worker_view> kWorkers = {{"w-1", {16'000, 60'000, 0}},
                                           {"w-2", {8000, 30'000, 4}},
                                           {"w-3", {4000, 30'000, 2}}};

}  // namespace

BOOST_AUTO_TEST_SUITE(submission_check_suite)

BOOST_AUTO_TEST_CASE(TasksThatFitIntoEmptyWorkersAreAccepted) {
  BOOST_TEST(CheckSubmission({16'000, 60'000, 0}, 1, kWorkers).has_value());
  BOOST_TEST(CheckSubmission({1000, 1000, 1}, 6, kWorkers).has_value());
}

BOOST_AUTO_TEST_CASE(RejectionNamesTheSizesThatFit) {
  // Each dimension fits into some worker, but no worker fits all of them.
  const auto refused = CheckSubmission({16'000, 1000, 1}, 1, kWorkers);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().kind == base::error_kind::kInvalidArgument));
  BOOST_TEST(refused.error().remedy ==
             "ask for at most 16000 milli-processors, 60000 MiB and 0 "
             "accelerators, or 8000 milli-processors, 30000 MiB and 4 "
             "accelerators");
}

BOOST_AUTO_TEST_CASE(GangThatDoesNotFitAsAWholeIsRejected) {
  const auto refused = CheckSubmission({1000, 1000, 1}, 7, kWorkers);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST(refused.error().remedy.find("at most 6 tasks") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
