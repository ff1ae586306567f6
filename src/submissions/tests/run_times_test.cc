#include "internal/run_times.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace chivecrank::submissions::internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUsual{2000};
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

struct history {
  /// Steps whose run times spread by `spread` and whose estimates are off by
  /// `error`, as standard deviations of logarithms.
  void Fill(double spread, double error) {
    std::mt19937_64 random(1);
    std::normal_distribution<double> deviation;
    for (int i = 0; i < kSteps; ++i) {
      const milliseconds took = Scaled(kUsual, spread * deviation(random));
      const step_request step = StepOf(Scaled(took, error * deviation(random)));
      measured_runs measured;
      for (int task = 0; task < step.task_count; ++task)
        times.Observe("queue", step, measured, took);
    }
  }

  milliseconds Expect(milliseconds estimate) {
    return times.Expect("queue", StepOf(estimate), {});
  }

  run_times times;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(expected_run_times, history)

BOOST_AUTO_TEST_CASE(WithoutHistoryTheEstimateCounts) {
  BOOST_TEST((Expect(milliseconds(700)) == milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(EstimatesThatWereGoodAreTrusted) {
  Fill(0.8, 0.05);
  const milliseconds expected = Expect(milliseconds(300));
  BOOST_TEST((expected > milliseconds(250) && expected < milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(EstimatesThatWereFarOffCountForLittle) {
  Fill(0.3, 1.0);
  const milliseconds low = Expect(milliseconds(300));
  const milliseconds high = Expect(milliseconds(15'000));
  BOOST_TEST((low > milliseconds(1200) && low < milliseconds(2400)));
  BOOST_TEST((high > milliseconds(1600) && high < milliseconds(3500)));
  BOOST_TEST((low < high));
}

BOOST_AUTO_TEST_CASE(EstimatesThatAreAlwaysLowAreCorrected) {
  for (int i = 0; i < kSteps; ++i) {
    const milliseconds took(500 + 50 * i);
    measured_runs measured;
    times.Observe("queue", StepOf(took / 3), measured, took);
  }
  const milliseconds expected = Expect(milliseconds(1000));
  BOOST_TEST((expected > milliseconds(2500) && expected < milliseconds(3500)));
}

BOOST_AUTO_TEST_CASE(WhatTheStepTookItselfGoesFirst) {
  Fill(0.3, 1.0);
  const step_request step = StepOf(milliseconds(300));
  measured_runs measured;
  for (int task = 0; task < 3; ++task)
    times.Observe("queue", step, measured, milliseconds(6000));
  const milliseconds expected = times.Expect("queue", step, measured);
  BOOST_TEST((expected > milliseconds(4500) && expected < milliseconds(6500)));
}

BOOST_AUTO_TEST_CASE(QueuesAreApart) {
  Fill(0.3, 1.0);
  const milliseconds other =
      times.Expect("other", StepOf(milliseconds(300)), {});
  BOOST_TEST((other == milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
