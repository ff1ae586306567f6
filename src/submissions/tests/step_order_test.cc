#include "internal/step_order.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace chivecrank::submissions::internal {
namespace {

using std::chrono::milliseconds;

/// Submissions whose first steps are ready, to be sorted.
struct order_fixture {
  step_request Step(std::int32_t tasks, milliseconds estimate) {
    step_request step;
    step.task_count = tasks;
    step.demand = {1000, 1000, 0};
    step.estimate = estimate;
    return step;
  }

  live_submission& Add(const std::string& id,
                       const step_request& step,
                       milliseconds accepted = {}) {
    submission made;
    made.id = id;
    made.queue = "queue";
    made.policy = {"service", 0, 2, 2, milliseconds(1000)};
    made.accepted_since_epoch = accepted;
    made.steps = {step};
    live_submission& live = table.Add(made);
    submission_table::UpdateForecast(live, estimator, {});
    ready.emplace_back().live = &live;
    return live;
  }

  std::vector<std::string> Order(milliseconds since_epoch) {
    SortByUrgency(ready, since_epoch);
    std::vector<std::string> ids;
    for (const ready_step& entry : ready)
      ids.push_back(entry.live->request.id);
    return ids;
  }

  submission_table table;
  run_time_estimator estimator;
  std::vector<ready_step> ready;
};

using ids = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(step_order, order_fixture)

BOOST_AUTO_TEST_CASE(PartlyDoneSubmissionGoesBeforeEqualUnstartedOne) {
  Add("fresh", Step(10, milliseconds(1000)));
  live_submission& begun = Add("begun", Step(10, milliseconds(1000)));
  begun.occurrences[0].steps[0].done = 6;
  submission_table::UpdateForecast(begun, estimator, {});
  BOOST_TEST((Order(milliseconds(100)) == ids{"begun", "fresh"}));
}

BOOST_AUTO_TEST_CASE(SmallSubmissionGoesBeforeLargeOne) {
  Add("large", Step(30, milliseconds(1000)));
  Add("small", Step(5, milliseconds(1000)));
  BOOST_TEST((Order(milliseconds(100)) == ids{"small", "large"}));
}

BOOST_AUTO_TEST_CASE(LargeSubmissionWithLittleWorkLeftGoesBeforeSmallOne) {
  live_submission& large = Add("large", Step(30, milliseconds(1000)));
  large.occurrences[0].steps[0].done = 20;
  submission_table::UpdateForecast(large, estimator, {});
  Add("small", Step(12, milliseconds(1000)));
  BOOST_TEST((Order(milliseconds(100)) == ids{"large", "small"}));
}

BOOST_AUTO_TEST_CASE(SubmissionThatMissesItsDeadlineGoesLast) {
  // Allowed time: twice the estimate plus one second.
  Add("late", Step(1, milliseconds(1000)));
  Add("in time", Step(20, milliseconds(1000)), milliseconds(2500));
  BOOST_TEST((Order(milliseconds(3000)) == ids{"in time", "late"}));
}

BOOST_AUTO_TEST_CASE(LongRunningStepsFollowStepsThatCanBeInTime) {
  step_request service = Step(4, milliseconds(0));
  service.long_running = true;
  Add("second service", service, milliseconds(200));
  Add("first service", service);
  Add("large", Step(30, milliseconds(1000)));
  Add("small", Step(5, milliseconds(1000)), milliseconds(2600));
  BOOST_TEST((Order(milliseconds(100)) ==
              ids{"small", "large", "first service", "second service"}));
  // The large one has become too late to hold a service up.
  BOOST_TEST((Order(milliseconds(4000)) ==
              ids{"small", "first service", "second service", "large"}));
}

BOOST_AUTO_TEST_CASE(PriorityPrecedesRemainingWork) {
  Add("first", Step(30, milliseconds(1000)));
  Add("second", Step(1, milliseconds(1000)));
  ready[1].priority = 1;
  BOOST_TEST((Order(milliseconds(100)) == ids{"first", "second"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
