#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Presses hard on one of two services, as heavy batch images do.
double SparsePressure(const std::string& service, const std::string& fill) {
  const bool heavy = (service == "service-a" && fill == "batch-a") ||
                     (service == "service-b" && fill == "batch-b");
  return heavy ? 3.5 : 0;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(load, day_fixture)

BOOST_AUTO_TEST_CASE(ACalmDayIsServedInTime) {
  Day().Run(seconds(20), true);
  CheckPromises();
  const caller_counts total = Day().Total();
  BOOST_TEST(total.offered > 40u);
  BOOST_TEST(total.accepted == total.offered);
  BOOST_TEST(total.completed == total.offered);
  BOOST_TEST(total.in_objective * 20 >= total.offered * 19);
}

BOOST_AUTO_TEST_CASE(ADayFeedsEveryFigure) {
  settings.failure_domains = 2;
  Day().Run(seconds(10), true);
  Day().Cancel(Day().Submit(settings.queues[0]));
  Day().DrainDomain(0, true);
  Day().Run(seconds(2), true);
  std::string text;
  for (std::size_t i = 0; i < settings.instances; ++i)
    text += Day().InstanceAt(i).Metrics().Text();
  for (const auto& metric : runtime::instance_metrics::Descriptions()) {
    const std::string sample = "\n" + std::string(metric.name);
    BOOST_TEST(text.find(sample) != std::string::npos, metric.name);
  }
}

BOOST_AUTO_TEST_CASE(TheJournalOutgrowsNoWriteOfTheStore) {
  // Several snapshots of the shard's state, each with deletes of old entries.
  settings.queues[0].per_second = 12;
  Day().Run(seconds(45), true);
  CheckPromises();
  BOOST_TEST(Day().Total().completed == Day().Total().accepted);
}

BOOST_AUTO_TEST_CASE(ASnapshotThatTheStoreWouldNotTakeIsSplit) {
  settings.value_bytes = 6 * 1024;
  settings.max_entry_bytes = 3 * 1024;
  // Long work of many tasks: a snapshot outgrows the limit.
  settings.queues[1].per_second = 1;
  settings.queues[1].step.task_count = 20;
  settings.queues[0].per_second = 6;
  Day().Run(seconds(30), true);
  const std::size_t owner = Day().OwnerOf(0);
  BOOST_REQUIRE(owner < settings.instances);
  Day().KillInstance(owner);
  Day().Run(seconds(4), true);
  Day().StartInstance(owner);
  Day().Run(seconds(10), true);
  Day().Run(seconds(60), false);
  CheckPromises();
  BOOST_TEST(Day().Total().completed == Day().Total().accepted);
}

BOOST_AUTO_TEST_CASE(AShardTooLargeForASnapshotGoesOn) {
  settings.value_bytes = 6 * 1024;
  settings.max_entry_bytes = 1024;
  settings.queues[1].step.task_count = 30;
  settings.queues[0].per_second = 6;
  Day().Run(seconds(30), true);
  const std::size_t owner = Day().OwnerOf(0);
  BOOST_REQUIRE(owner < settings.instances);
  Day().KillInstance(owner);
  Day().Run(seconds(10), true);
  Day().Run(seconds(60), false);
  CheckPromises();
  BOOST_TEST(Day().Total().completed == Day().Total().accepted);
}

BOOST_AUTO_TEST_CASE(EndedSubmissionsLeaveTheStoreAfterAWhile) {
  Day().Run(seconds(20), true);
  Day().Run(seconds(20), false);
  const std::size_t full = Day().Store().Items().size();
  BOOST_TEST(full > 2 * Day().Total().accepted);
  // Callers may ask for three minutes.
  Day().Run(seconds(240), false);
  BOOST_TEST(Day().Store().Items().size() <
             full - 2 * Day().Total().accepted + 10);
  CheckPromises();
}

BOOST_AUTO_TEST_CASE(FillingTasksKeepAwayFromServicesThatTheyDisturb) {
  settings.pressure = &SparsePressure;
  settings.queues = {FillingLoad()};
  settings.queues[0].images = {"batch-a", "batch-b", "batch-c"};
  queue_load first = LastingLoad();
  queue_load second = LastingLoad();
  second.step.image = "service-b";
  settings.queues.push_back(first);
  settings.queues.back().per_second = 0.0001;
  for (int i = 0; i < 4; ++i) {
    Day().Submit(first);
    Day().Submit(second);
  }
  Day().Run(seconds(3), false);
  BOOST_TEST(Day().Workers().Running() == 32u);
  // The pairs are learned.
  Day().Run(seconds(12), true);
  const double over_before = Day().Workers().OverBoundSeconds();
  Day().Run(seconds(20), true);
  // 32 services for 20 s, one in a hundred over its bound at most.
  BOOST_TEST(Day().Workers().OverBoundSeconds() - over_before < 6.4);
  Day().Run(seconds(20), false);
  const caller_counts& filling = Day().Callers().at("filling");
  BOOST_TEST(filling.completed == filling.accepted);
  BOOST_TEST(filling.in_objective * 10 >= filling.accepted * 8);
}

BOOST_AUTO_TEST_CASE(AWaveOfServicesFindsTheRoomOfAllShards) {
  settings.workers = 48;
  settings.workers_per_shard = 12;
  settings.queues = {LastingLoad()};
  settings.queues[0].per_second = 0.0001;
  Day().Run(seconds(2), false);
  // Four shards of different sizes; the wave takes three quarters of all.
  std::vector<std::string> ids;
  for (int i = 0; i < 48; ++i) {
    ids.push_back(Day().Submit(settings.queues[0]));
    Day().Run(milliseconds(5), false);
  }
  Day().Run(seconds(3), false);
  int whole = 0;
  for (const std::string& id : ids)
    whole += Day().Workers().RunningOf(id) == 4u ? 1 : 0;
  BOOST_TEST(whole == 48);
}

BOOST_AUTO_TEST_CASE(WhenThereIsTooMuchWorkTheRoomGoesToWhatCanBeInTime) {
  // Twelve workers of 16 cores do 4.3 of these a second; half as many more are
  // handed in.
  queue_load urgent = UrgentLoad();
  urgent.step.demand = {8000, 2000, 0};
  urgent.per_second = 6.5;
  settings.queues = {urgent};
  Day().Run(seconds(40), true);
  const caller_counts total = Day().Total();
  BOOST_TEST_MESSAGE(total.in_objective << " of " << total.offered);
  // 170 could be done at all; two thirds of these have to be in time.
  BOOST_TEST(total.in_objective >= 113u);
  BOOST_TEST(total.accepted == total.offered);
  Day().Run(seconds(60), false);
  CheckPromises();
  BOOST_TEST(Day().Total().completed == Day().Total().accepted);
}

BOOST_AUTO_TEST_CASE(OrdersToABusyWorkerDoNotPutOffItsLooks) {
  // One worker gets an order every 40 ms; each task is seen to end soon after
  // it did.
  settings.workers = 1;
  settings.capacity = {64'000, 250'000, 0};
  queue_load brief = UrgentLoad();
  brief.per_second = 25;
  brief.steps = 1;
  brief.step.task_count = 1;
  brief.work = milliseconds(300);
  brief.step.estimate = brief.work;
  brief.policy.stretch = 1;
  // Callers ask every 400 ms.
  brief.policy.target_run_time = milliseconds(640);
  settings.queues = {brief};
  Day().Run(seconds(20), true);
  CheckPromises();
  const caller_counts total = Day().Total();
  BOOST_TEST(total.in_objective * 100 >= total.offered * 98);
}

BOOST_AUTO_TEST_CASE(TasksThatNeedPermitsAskForThemAndRun) {
  queue_load guarded = UrgentLoad();
  guarded.policy.permits = submissions::permit_timing{
      milliseconds(20), milliseconds(3), milliseconds(1500)};
  guarded.policy.target_run_time = milliseconds(800);
  settings.queues = {guarded};
  Day().Run(seconds(12), true);
  Day().Permits().SetSilent(true);
  Day().Run(seconds(3), true);
  Day().Permits().SetSilent(false);
  Day().Run(seconds(10), true);
  CheckPromises();
  const caller_counts total = Day().Total();
  BOOST_TEST(total.completed == total.accepted);
  BOOST_TEST(total.in_objective * 10 >= total.offered * 7);
  // One question a step does where nothing fails.
  BOOST_TEST(Day().Permits().Questions() < 4 * total.offered);
  BOOST_TEST(Day().Workers().Counts().no_permit * 20 <=
             Day().Workers().Counts().starts);
}

BOOST_AUTO_TEST_CASE(LastingTasksAreBackSoonAfterTheirWorkerCrashed) {
  settings.queues = {LastingLoad()};
  settings.queues[0].per_second = 0.0001;
  const std::string id = Day().Submit(settings.queues[0]);
  Day().Run(seconds(2), false);
  BOOST_TEST(Day().Workers().RunningOf(id) == 4u);
  for (const std::string& worker : Day().Workers().Ids())
    if (Day().Workers().RunningOf(id) == 4u)
      Day().Workers().Crash(worker);
  // The crashed worker's lease, its margin, and a moment to place.
  Day().Run(milliseconds(6000 + 900 + 700), false);
  BOOST_TEST(Day().Workers().RunningOf(id) == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
