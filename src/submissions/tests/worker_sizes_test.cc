#include "chivecrank/submissions/worker_sizes.h"

#include "scheduler_fixture.h"

namespace chivecrank::submissions {
namespace {

struct sizes_fixture : scheduler_fixture {
  sizes_fixture() { sizes.Add("service", {16'000, 64'000, 0}); }

  static submission Asking(std::int64_t processors_milli,
                           std::int64_t memory_mib) {
    step_request step = MakeStep(3, processors_milli);
    step.demand.memory_mib = memory_mib;
    return MakeSubmission("a", step);
  }
  bool Fits(const submission& offered) const {
    return sizes.Check(offered).has_value();
  }

  worker_sizes sizes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_sizes_suite, sizes_fixture)

BOOST_AUTO_TEST_CASE(WhatFillsTheLargestWorkerFits) {
  BOOST_TEST(Fits(Asking(16'000, 64'000)));
  BOOST_TEST(!Fits(Asking(16'001, 1000)));
  BOOST_TEST(!Fits(Asking(1000, 64'001)));
}

BOOST_AUTO_TEST_CASE(AllDimensionsMustFitOnOneWorker) {
  sizes.Add("service", {32'000, 8000, 0});
  BOOST_TEST(Fits(Asking(32'000, 8000)));
  BOOST_TEST(!Fits(Asking(32'000, 64'000)));
}

BOOST_AUTO_TEST_CASE(ACoveredSizeIsNotKept) {
  sizes.Add("service", {8000, 64'000, 0});
  BOOST_TEST(sizes.All().at("service").size() == 1u);
  sizes.Add("service", {64'000, 256'000, 4});
  BOOST_TEST(sizes.All().at("service").size() == 1u);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksNeedNoProcessors) {
  submission offered = Asking(90'000, 1000);
  offered.steps[0].best_effort = true;
  BOOST_TEST(Fits(offered));
}

BOOST_AUTO_TEST_CASE(ALaterStepCountsToo) {
  submission offered = Asking(1000, 1000);
  offered.steps.push_back(MakeStep(1, 20'000));
  const auto checked = sizes.Check(offered);
  BOOST_REQUIRE(!checked.has_value());
  BOOST_TEST(checked.error().message.find("step 1") != std::string::npos);
  BOOST_TEST(checked.error().remedy.find("16000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(NothingIsSaidOfAServiceWithoutWorkers) {
  submission offered = Asking(90'000, 1000);
  offered.policy.service = "another";
  BOOST_TEST(Fits(offered));
}

BOOST_AUTO_TEST_CASE(SizesOutliveWorkersThatShrinkOrLeave) {
  workers[0].capacity.processors_milli = 40'000;
  scheduler.SetWorkers(workers);
  workers.erase(workers.begin());
  workers[0].capacity.processors_milli = 0;
  scheduler.SetWorkers(workers);
  BOOST_TEST(scheduler.Sizes().Check(Asking(40'000, 1000)).has_value());
  BOOST_TEST(!scheduler.Sizes().Check(Asking(40'001, 1000)).has_value());
}

BOOST_AUTO_TEST_CASE(ANewOwnerBeginsWithTheSizesOfTheOneBefore) {
  worker_sizes before;
  before.Add("service", {50'000, 64'000, 0});
  scheduler.AddSizes(before);
  BOOST_TEST(scheduler.Sizes().Check(Asking(50'000, 1000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
