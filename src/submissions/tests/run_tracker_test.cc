#include "internal/run_tracker.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::submissions::internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEstimate{1000};
constexpr milliseconds kRunTime{4000};

/// A submission with a task that runs on a worker.
struct tracker_fixture {
  tracker_fixture() {
    submission made;
    made.id = "a";
    made.queue = "queue";
    made.policy = {"service", 0, 2, 2, milliseconds(1000)};
    made.steps.resize(1);
    made.steps[0].task_count = 2;
    made.steps[0].estimate = kEstimate;
    tracker.Submissions().Add(made);
    worker.description.id = "w";
    tracker.Assign(task, 1, worker, now);
    Run().phase = run_phase::kRunning;
  }

  active_run& Run() { return worker.runs.at(task); }

  milliseconds ExpectedRunTime() const {
    const live_submission& live = *tracker.Submissions().All().at("a");
    return tracker.RunTimes().Expect("queue", live.request.steps[0], {});
  }

  void EndAsDone() {
    now += kRunTime;
    tracker.HandleEnd(worker, {1, task, 1, run_outcome::kDone, {}}, now);
  }

  const scheduler_settings settings;
  const scheduler_event_hook on_event;
  run_tracker tracker{settings, on_event};
  worker_entry& worker = tracker.Workers().FindOrAdd("w");
  const task_ref task{"a", 0, 0, 0};
  base::time_point now{std::chrono::seconds(10)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(run_time_samples, tracker_fixture)

BOOST_AUTO_TEST_CASE(CompletedRunUpdatesExpectedRunTime) {
  EndAsDone();
  BOOST_TEST((ExpectedRunTime() > kEstimate));
}

BOOST_AUTO_TEST_CASE(StoppingRunDoesNotUpdateExpectedRunTime) {
  tracker.Stop(worker, task, Run(), now);
  EndAsDone();
  BOOST_TEST((ExpectedRunTime() == kEstimate));
}

BOOST_AUTO_TEST_CASE(RunWithUncertainStartDoesNotUpdateExpectedRunTime) {
  Run().phase = run_phase::kUncertain;
  EndAsDone();
  BOOST_TEST((ExpectedRunTime() == kEstimate));
}

BOOST_AUTO_TEST_CASE(ThrottledRunDoesNotUpdateExpectedRunTime) {
  Run().is_run_time_sample = false;
  EndAsDone();
  BOOST_TEST((ExpectedRunTime() == kEstimate));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
