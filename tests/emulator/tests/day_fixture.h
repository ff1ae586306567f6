#ifndef CHIVECRANK_EMULATOR_TESTS_DAY_FIXTURE_H_
#define CHIVECRANK_EMULATOR_TESTS_DAY_FIXTURE_H_

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

#include "chivecrank/emulator/emulation.h"
#include "chivecrank/emulator/lasting_task_monitor.h"

namespace chivecrank::emulator {

/// Urgent work of two steps and four tasks each, as short as a callout's.
inline queue_load UrgentLoad() {
  queue_load load;
  load.name = "urgent";
  load.policy = {"service", 0, 2, 1.5, std::chrono::milliseconds(400)};
  load.per_second = 2;
  load.step.task_count = 4;
  load.step.demand = {1000, 2000, 0};
  load.step.estimate = std::chrono::milliseconds(700);
  load.steps = 2;
  load.work = std::chrono::milliseconds(700);
  return load;
}

/// Services that last, with a latency bound.
inline queue_load LastingLoad() {
  queue_load load;
  load.name = "lasting";
  load.policy = {"service", 0, 2, 2, std::chrono::milliseconds(2500)};
  load.per_second = 0.2;
  load.step.task_count = 4;
  load.step.demand = {3000, 6000, 0};
  load.step.long_running = true;
  load.step.max_unavailable = 1;
  load.step.latency_target = std::chrono::milliseconds(18);
  load.step.image = "service-a";
  return load;
}

/// Batch work that fills idle processors and saves its progress.
inline queue_load FillingLoad() {
  queue_load load;
  load.name = "filling";
  load.policy = {"service", 2, 2, 2, std::chrono::milliseconds(1000)};
  load.per_second = 1;
  load.step.task_count = 6;
  load.step.demand = {1800, 3000, 0};
  load.step.estimate = std::chrono::milliseconds(1700);
  load.step.best_effort = true;
  load.step.checkpoints = true;
  load.step.image = "batch-a";
  load.steps = 2;
  load.work = std::chrono::milliseconds(1700);
  return load;
}

/// Time for all that was begun to end.
constexpr std::chrono::seconds kSettleTime{25};

/// Three instances, twelve workers and callers of two queues.
struct day_fixture {
  day_fixture() { settings.queues = {UrgentLoad(), FillingLoad()}; }

  /// The day, which has begun and is calm.
  emulation& Day() {
    if (!day) {
      day = std::make_unique<emulation>(settings);
      day->Run(std::chrono::seconds(6), false);
      BOOST_REQUIRE(day->OwnerOf(0) < settings.instances);
    }
    return *day;
  }

  /// What always holds, once the load has ended and all had time to finish.
  void CheckPromises() {
    lasting_task_monitor monitor(Day());
    const base::time_point calm_since = Day().Now();
    while (Day().Now() < calm_since + kSettleTime) {
      Day().Run(lasting_task_monitor::kInterval, false);
      monitor.Observe(calm_since);
    }
    for (const idle_lasting_task& idle : monitor.Broken())
      BOOST_ERROR("lasting and without a run: " + idle.task);
    for (const broken_promise& broken : Day().Workers().Broken())
      BOOST_ERROR(broken.name + ": " + broken.task);
    const auto open = Day().Open();
    BOOST_TEST(open.size() == 0u);
    if (!open.empty())
      BOOST_TEST_MESSAGE("open: " + open.front());
  }

  emulation_settings settings;
  std::unique_ptr<emulation> day;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_TESTS_DAY_FIXTURE_H_
