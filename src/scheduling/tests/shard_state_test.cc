#include "chivecrank/scheduling/shard_state.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::scheduling {
namespace {

task_request Request(const std::string& id) {
  task_request request;
  request.id = id;
  request.demand = {1000, 500, 0};
  request.attempt_limit = 2;
  return request;
}

struct fixture {
  shard_state state;

  bool Apply(const event& recorded) {
    return state.Apply(recorded).has_value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_state_suite, fixture)

BOOST_AUTO_TEST_CASE(TaskFailsAtItsAttemptLimit) {
  BOOST_TEST(Apply(task_accepted{Request("a")}));
  for (std::int32_t attempt = 1; attempt <= 2; ++attempt) {
    BOOST_TEST(Apply(attempt_started{"a", attempt, "w-1"}));
    BOOST_TEST(Apply(attempt_ended{"a", attempt, attempt_outcome::kFailed}));
  }
  BOOST_TEST((state.Find("a")->state == task_state::kFailed));
  BOOST_TEST(!Apply(attempt_started{"a", 3, "w-1"}));
}

BOOST_AUTO_TEST_CASE(CancelledTaskIsNotRestarted) {
  BOOST_TEST(Apply(task_accepted{Request("a")}));
  BOOST_TEST(Apply(attempt_started{"a", 1, "w-1"}));
  BOOST_TEST(Apply(task_cancelled{"a"}));
  BOOST_TEST(state.CommittedOn("w-1").processors_milli == 1000);
  BOOST_TEST(Apply(attempt_ended{"a", 1, attempt_outcome::kStopped}));
  BOOST_TEST(state.CommittedOn("w-1").processors_milli == 0);
  BOOST_TEST((state.Find("a")->state == task_state::kCancelled));
  BOOST_TEST(!Apply(attempt_started{"a", 2, "w-1"}));
}

BOOST_AUTO_TEST_CASE(EventsOutOfOrderAreRejected) {
  BOOST_TEST(!Apply(attempt_started{"a", 1, "w-1"}));
  BOOST_TEST(Apply(task_accepted{Request("a")}));
  BOOST_TEST(!Apply(task_accepted{Request("a")}));
  BOOST_TEST(!Apply(attempt_started{"a", 2, "w-1"}));
  BOOST_TEST(!Apply(attempt_ended{"a", 1, attempt_outcome::kDone}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
