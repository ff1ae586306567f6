#include <boost/test/unit_test.hpp>

#include "chivecrank/scheduling/shard_state.h"

namespace chivecrank::scheduling {
namespace {

constexpr std::chrono::milliseconds kSaved{700};

struct fixture {
  shard_state state;

  fixture() {
    task_request request;
    request.id = "a";
    request.demand = {1000, 500, 0};
    request.checkpoints = true;
    Apply(task_accepted{request});
  }

  bool Apply(const event& recorded) {
    return state.Apply(recorded).has_value();
  }

  task_state State() const { return state.Find("a")->state; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(task_lifecycle_suite, fixture)

BOOST_AUTO_TEST_CASE(EvictedTaskResumesFromItsCheckpointOnce) {
  BOOST_TEST(Apply(attempt_started{"a", 1, "w-1"}));
  BOOST_TEST((State() == task_state::kStarting));
  BOOST_TEST(Apply(attempt_confirmed{"a", 1}));
  BOOST_TEST(Apply(attempt_throttled{"a", 1, true}));
  BOOST_TEST((State() == task_state::kThrottled));
  BOOST_TEST(Apply(checkpoint_ordered{"a", 1}));
  BOOST_TEST((State() == task_state::kCheckpointing));
  BOOST_TEST(!Apply(attempt_started{"a", 2, "w-2"}));
  BOOST_TEST(Apply(attempt_ended{"a", 1, attempt_outcome::kStopped, kSaved}));
  BOOST_TEST((State() == task_state::kEvicted));
  BOOST_TEST(!Apply(attempt_ended{"a", 1, attempt_outcome::kStopped}));
  BOOST_TEST(Apply(attempt_started{"a", 2, "w-2"}));
  BOOST_TEST((State() == task_state::kResuming));
  BOOST_TEST(!Apply(attempt_started{"a", 2, "w-1"}));
  BOOST_TEST(!Apply(attempt_started{"a", 3, "w-1"}));
  BOOST_TEST((state.Find("a")->saved_run_time == kSaved));
}

BOOST_AUTO_TEST_CASE(GrantedResourcesStayCommittedUntilTheAttemptEnds) {
  const coordination::resources granted{3000, 900, 0};
  BOOST_TEST(Apply(attempt_started{"a", 1, "w-1", granted}));
  BOOST_TEST((state.CommittedOn("w-1") == granted));
  BOOST_TEST(Apply(attempt_ended{"a", 1, attempt_outcome::kLost}));
  BOOST_TEST((state.CommittedOn("w-1") == coordination::resources{}));
  BOOST_TEST(state.OpenTasksOn("w-1").empty());
  BOOST_TEST((State() == task_state::kPending));
}

BOOST_AUTO_TEST_CASE(ParkedTaskStartsOnlyAfterRelease) {
  BOOST_TEST(Apply(attempt_started{"a", 1, "w-1"}));
  BOOST_TEST(!Apply(task_parked{"a", "fails"}));
  BOOST_TEST(Apply(attempt_ended{"a", 1, attempt_outcome::kCrashed}));
  BOOST_TEST(Apply(task_parked{"a", "fails"}));
  BOOST_TEST(state.waiting().empty());
  BOOST_TEST(!Apply(attempt_started{"a", 2, "w-1"}));
  BOOST_TEST(Apply(task_released{"a"}));
  BOOST_TEST(Apply(attempt_started{"a", 2, "w-1"}));
}

BOOST_AUTO_TEST_CASE(NoTriggerLeavesAFinalState) {
  for (const task_state final :
       {task_state::kDone, task_state::kFailed, task_state::kCancelled}) {
    for (int trigger = 0; trigger <= static_cast<int>(task_trigger::kCancel);
         ++trigger) {
      BOOST_TEST(!NextState(final, static_cast<task_trigger>(trigger)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
