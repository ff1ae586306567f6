#include "internal/run_time_estimator.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace chivecrank::submissions::internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTypicalRunTime{2000};
constexpr int kSteps = 100;

step_request StepOf(milliseconds estimate) {
  step_request step;
  step.task_count = 4;
  step.estimate = estimate;
  return step;
}

milliseconds Scaled(milliseconds time, double logarithm) {
  return milliseconds(
      std::llround(static_cast<double>(time.count()) * std::exp(logarithm)));
}

struct estimator_fixture {
  /// Adds steps whose run times and estimate errors have these standard
  /// deviations, both of logarithms.
  void Fill(double spread, double error) {
    std::mt19937_64 random(1);
    std::normal_distribution<double> deviation;
    for (int i = 0; i < kSteps; ++i) {
      const milliseconds run_time =
          Scaled(kTypicalRunTime, spread * deviation(random));
      const step_request step =
          StepOf(Scaled(run_time, error * deviation(random)));
      measured_runs measured;
      for (int task = 0; task < step.task_count; ++task)
        estimator.Observe("queue", step, measured, run_time);
    }
  }

  milliseconds Expect(milliseconds estimate) {
    return estimator.Expect("queue", StepOf(estimate), {});
  }

  run_time_estimator estimator;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(expected_run_times, estimator_fixture)

BOOST_AUTO_TEST_CASE(WithoutHistoryTheDeclaredEstimateIsUsed) {
  BOOST_TEST((Expect(milliseconds(700)) == milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(AccurateEstimatesOutweighQueueHistory) {
  Fill(0.8, 0.05);
  const milliseconds expected = Expect(milliseconds(300));
  BOOST_TEST((expected > milliseconds(250) && expected < milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(InaccurateEstimatesGetLowWeight) {
  Fill(0.3, 1.0);
  const milliseconds low = Expect(milliseconds(300));
  const milliseconds high = Expect(milliseconds(15'000));
  BOOST_TEST((low > milliseconds(1200) && low < milliseconds(2400)));
  BOOST_TEST((high > milliseconds(1600) && high < milliseconds(3500)));
  BOOST_TEST((low < high));
}

BOOST_AUTO_TEST_CASE(ConsistentlyLowEstimatesAreScaledUp) {
  for (int i = 0; i < kSteps; ++i) {
    const milliseconds run_time(500 + 50 * i);
    measured_runs measured;
    estimator.Observe("queue", StepOf(run_time / 3), measured, run_time);
  }
  const milliseconds expected = Expect(milliseconds(1000));
  BOOST_TEST((expected > milliseconds(2500) && expected < milliseconds(3500)));
}

BOOST_AUTO_TEST_CASE(MeasuredRunsOfTheStepOutweighQueueHistory) {
  Fill(0.3, 1.0);
  const step_request step = StepOf(milliseconds(300));
  measured_runs measured;
  for (int task = 0; task < 3; ++task)
    estimator.Observe("queue", step, measured, milliseconds(6000));
  const milliseconds expected = estimator.Expect("queue", step, measured);
  BOOST_TEST((expected > milliseconds(4500) && expected < milliseconds(6500)));
}

BOOST_AUTO_TEST_CASE(QueuesHaveSeparateHistories) {
  Fill(0.3, 1.0);
  const milliseconds other =
      estimator.Expect("other", StepOf(milliseconds(300)), {});
  BOOST_TEST((other == milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
