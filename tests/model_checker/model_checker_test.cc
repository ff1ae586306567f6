#include <boost/test/unit_test.hpp>

#include "model.h"
#include "search.h"

namespace chivecrank::model_checker {
namespace {

/// Keeps a run short under the sanitizers; CHIVECRANK_MODEL_STATES raises it.
constexpr std::size_t kStates = 60'000;

std::size_t Limit() {
  const char* asked = std::getenv("CHIVECRANK_MODEL_STATES");
  return asked == nullptr ? kStates : std::stoul(asked);
}

search_result Check(const std::string& name, const model_options& options) {
  const auto successors = [&options](const model_state& from) {
    return Successors(options, from);
  };
  search_result result = Search(InitialState(options), successors, Limit());
  BOOST_TEST_MESSAGE(name << ": " << Describe(result));
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(model_checker_suite)

BOOST_AUTO_TEST_CASE(PausedOwnersAndTakeoversBreakNoRule) {
  model_options options;
  options.taken_over = true;
  // Room for the other task on its worker.
  options.ends = 1;
  BOOST_TEST(Check("pauses and a takeover", options).broken == "");
}

BOOST_AUTO_TEST_CASE(DelayedSyncsBreakNoRule) {
  model_options options;
  options.delayed_messages = 1;
  options.taken_over = true;
  // Room for the other task on its worker.
  options.ends = 1;
  BOOST_TEST(Check("delayed syncs and a takeover", options).broken == "");
}

BOOST_AUTO_TEST_CASE(SyncsThatOneOwnerSentLongAgoBreakNoRule) {
  model_options options;
  options.delayed_messages = 2;
  options.claims = 0;
  options.session_term = 6;
  options.horizon = 6;
  options.syncs = 4;
  options.second_done = true;
  BOOST_TEST(Check("syncs sent long ago", options).broken == "");
}

BOOST_AUTO_TEST_CASE(LostAnswersAndCrashesBreakNoRule) {
  model_options options;
  options.lost_answers = 1;
  options.crashes = 1;
  options.syncs = 2;
  options.horizon = 5;
  BOOST_TEST(Check("lost answers and a crash", options).broken == "");
}

BOOST_AUTO_TEST_CASE(EvictedWorkResumesOnce) {
  model_options options;
  options.evictions = 1;
  options.lost_answers = 1;
  options.claims = 0;
  options.renewals = 1;
  options.syncs = 4;
  options.horizon = 4;
  BOOST_TEST(Check("eviction", options).broken == "");
}

BOOST_AUTO_TEST_CASE(RestartsAndCancelsBreakNoRule) {
  model_options options;
  options.worker_restarts = 1;
  options.cancels = 1;
  options.syncs = 3;
  options.taken_over = true;
  // Room for the other task on its worker.
  options.ends = 1;
  options.horizon = 7;
  BOOST_TEST(Check("restart and cancel", options).broken == "");
}

BOOST_AUTO_TEST_CASE(StartBeforeTheOldLeaseHasPassedIsFound) {
  model_options options;
  options.taken_over = true;
  // Room for the other task on its worker.
  options.ends = 1;
  // A new owner that does not wait for the leases the former one renewed.
  options.believed_terms.outage_grace = -options.terms.term;
  const search_result found = Check("planted fault", options);
  BOOST_TEST(found.broken == "task a runs in two places");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::model_checker
