#include "chivecrank/runtime/worker_witnesses.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::runtime {
namespace {

const base::time_point kAsked{std::chrono::hours(1)};
const base::time_point kLater = kAsked + std::chrono::seconds(1);

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_witnesses_suite)

BOOST_AUTO_TEST_CASE(TwoOfThreeAreMost) {
  worker_witnesses witnesses;
  BOOST_TEST(!witnesses.AreMostSince(kAsked));
  witnesses.SetWorkers({"a", "b", "c"});
  witnesses.OnAnswer("a", kAsked);
  BOOST_TEST(!witnesses.AreMostSince(kAsked));
  witnesses.OnAnswer("b", kAsked);
  BOOST_TEST(witnesses.AreMostSince(kAsked));
}

BOOST_AUTO_TEST_CASE(AnswersToOlderRequestsDoNotCount) {
  worker_witnesses witnesses;
  witnesses.SetWorkers({"a"});
  witnesses.OnAnswer("a", kLater);
  // An answer that was overtaken.
  witnesses.OnAnswer("a", kAsked);
  BOOST_TEST(witnesses.AreMostSince(kLater));
  BOOST_TEST(!witnesses.AreMostSince(kLater + std::chrono::milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(OtherWorkersDoNotCount) {
  worker_witnesses witnesses;
  witnesses.SetWorkers({"a", "b"});
  witnesses.OnAnswer("a", kAsked);
  witnesses.OnAnswer("gone", kAsked);
  BOOST_TEST(!witnesses.AreMostSince(kAsked));
  witnesses.SetWorkers({"a"});
  BOOST_TEST(witnesses.AreMostSince(kAsked));
  witnesses.SetWorkers({"new"});
  BOOST_TEST(!witnesses.AreMostSince(kAsked));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
