#include "chivecrank/scheduling/interference_model.h"

#include "tests/planner_fixture.h"

namespace chivecrank::scheduling {
namespace {

constexpr int kSamples = 40;

/// A service on a single worker to which tests add batch work.
struct interference_fixture : planner_fixture {
  interference_fixture() {
    workers.resize(1);
    settings.interference.prior_mean = 0;
    settings.interference.prior_variance = 0.3;
    AcceptService("s");
    Round();
  }

  void Run(const std::string& id,
           const std::string& template_name,
           std::int64_t processors_milli = 2000) {
    task_request request = Request(id, processors_milli);
    request.template_name = template_name;
    Accept(request);
    Round();
  }

  /// Observes a sample of the second that ended `lag` before now.
  void Sample(double inflation, std::chrono::seconds lag = {}) {
    Planner().Observe(service_sample{"w-1", "service",
                                     now - lag - std::chrono::seconds(1),
                                     now - lag, inflation, 1.0});
  }

  void Learn(double inflation) {
    for (int sample = 0; sample < kSamples; ++sample) {
      Pass(std::chrono::seconds(1));
      Sample(inflation);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(interference_suite, interference_fixture)

BOOST_AUTO_TEST_CASE(LateSampleIsAttributedToTheWorkOfItsWindow) {
  residency_log residency(std::chrono::seconds(300));
  inflation_forecast forecast({}, {});
  const base::wall_time start = now;
  residency.Set("w", "a", "noisy", 0.5, start);
  residency.End("w", "a", start + std::chrono::seconds(100));
  residency.Set("w", "b", "quiet", 0.5, start + std::chrono::seconds(100));
  const auto slope = [&](const char* batch) {
    return forecast
        .InflationPerShare("w", "service", batch,
                           start + std::chrono::seconds(120))
        .mean;
  };
  for (int sample = 0; sample < kSamples; ++sample) {
    // The samples arrive while only the quiet template runs.
    const base::wall_time to = start + std::chrono::seconds(50 + sample);
    forecast.Observe({"w", "service", to - std::chrono::seconds(1), to, 3, 1},
                     residency);
  }
  BOOST_TEST(slope("noisy") > 3.0);
  BOOST_TEST(slope("quiet") == interference_settings{}.prior_mean);
}

BOOST_AUTO_TEST_CASE(DegradedServiceGetsBatchThrottledAndLaterRestored) {
  Run("a", "noisy", 1500);
  Run("b", "noisy", 1500);
  Learn(2.0);
  const auto actions = Round();
  BOOST_REQUIRE(actions.size() == 1);
  BOOST_TEST(std::get<attempt_throttled>(actions[0]).throttled);
  // The next action waits until the effect of the first can be measured.
  Pass(std::chrono::seconds(1));
  BOOST_TEST(Round().empty());
  // At a low load the predicted interference is low, too.
  Pass(std::chrono::seconds(10));
  Planner().Observe(service_sample{
      "w-1", "service", now - std::chrono::seconds(1), now, 1.0, 0.05});
  const auto restored = Round();
  BOOST_REQUIRE(restored.size() == 1);
  BOOST_TEST(!std::get<attempt_throttled>(restored[0]).throttled);
}

BOOST_AUTO_TEST_CASE(ThrottledWorkMovesWhenAnotherWorkerHasCapacity) {
  Run("a", "noisy");
  Learn(2.0);
  Round();
  workers.push_back({"w-2", {4000, 8000, 0}, "r-2", "d-2"});
  Pass(settings.throttled_time_before_move + std::chrono::seconds(1));
  const auto actions = Round();
  BOOST_REQUIRE(actions.size() == 1);
  BOOST_TEST(std::get<checkpoint_ordered>(actions[0]).task_id == "a");
  End("a", attempt_outcome::kStopped, std::chrono::seconds(60));
  Round();
  BOOST_TEST(WorkerOf("a") == "w-2");
  BOOST_TEST(state.Find("a")->attempt == 2);
}

BOOST_AUTO_TEST_CASE(NearlyDoneWorkIsNotThrottled) {
  Run("a", "noisy");
  Pass(std::chrono::minutes(4));
  Learn(2.0);
  Pass(std::chrono::seconds(10));
  BOOST_TEST(Round().empty());
}

BOOST_AUTO_TEST_CASE(BatchIsNotPlacedBesideAServiceItDegrades) {
  Run("a", "noisy");
  Learn(2.0);
  End("a", attempt_outcome::kDone);
  workers.push_back({"w-2", {4000, 8000, 0}, "r-2", "d-2"});
  Run("b", "noisy");
  Run("c", "noisy");
  Run("d", "noisy");
  BOOST_TEST(WorkerOf("b") == "w-2");
  BOOST_TEST(WorkerOf("c") == "w-2");
  BOOST_TEST((State("d") == task_state::kPending));
}

BOOST_AUTO_TEST_CASE(UrgentWorkStartsBesideADegradedService) {
  Run("a", "noisy");
  Learn(2.0);
  End("a", attempt_outcome::kDone);
  task_request urgent = Request("urgent", 1000);
  urgent.template_name = "noisy";
  urgent.urgent = true;
  Accept(urgent);
  Round();
  BOOST_TEST((State("urgent") == task_state::kRunning));
}

BOOST_AUTO_TEST_CASE(WorkThatWouldMissItsDueTimeIsMovedNotThrottled) {
  task_request due = Request("a", 2000);
  due.template_name = "noisy";
  due.due = now + std::chrono::minutes(10);
  Accept(due);
  Round();
  Learn(2.0);
  BOOST_TEST(Round().empty());
  workers.push_back({"w-2", {4000, 8000, 0}, "r-2", "d-2"});
  Pass(std::chrono::seconds(1));
  const auto actions = Round();
  BOOST_REQUIRE(actions.size() == 1);
  BOOST_TEST(std::holds_alternative<checkpoint_ordered>(actions[0]));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
