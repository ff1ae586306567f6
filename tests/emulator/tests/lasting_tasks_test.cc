#include <optional>

#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A lasting task runs again by then, counted from the end of the last fault:
/// three seconds until all instances are in touch, seven of calm.
constexpr seconds kRunsAgainWithin{10};
constexpr std::size_t kCrashed = 4;
/// The longest time that a task may be without a run while all is calm.
constexpr seconds kIdleAtMost{9};
/// Moments within a poll's cycle at which workers are lost.
constexpr int kPhases = 34;
constexpr milliseconds kPhase{20};
/// The longest lease that an owner grants.
constexpr milliseconds kLease{7800};

/// Services on twelve workers, some of which are lost around a change of owner.
struct lasting_fixture : day_fixture {
  lasting_fixture() {
    settings.queues = {LastingLoad()};
    settings.worker_lease = kLease;
    Day();
    for (int i = 0; i < 6; ++i)
      day->Submit(settings.queues[0]);
    day->Run(seconds(4), false);
    BOOST_REQUIRE(day->IdleLastingTasks().empty());
  }

  void Crash() {
    crashed = day->Workers().Ids();
    crashed.resize(kCrashed);
    for (const std::string& id : crashed)
      day->Workers().Crash(id);
    BOOST_REQUIRE(!day->IdleLastingTasks().empty());
  }

  /// The entries of silent workers are removed after a while.
  void Unlist() {
    for (const std::string& id : crashed)
      day->Unlist(id);
  }

  void Replace() {
    for (const std::string& id : crashed)
      day->Replace(id);
  }

  /// Kills the owner; it starts again once another instance has taken over.
  void ChangeOwner(milliseconds time) {
    const std::size_t owner = day->OwnerOf(0);
    BOOST_REQUIRE(owner < settings.instances);
    day->KillInstance(owner);
    day->Run(time, false);
    BOOST_REQUIRE(day->OwnerOf(0) < settings.instances);
    day->StartInstance(owner);
  }

  /// Kills the owner, which starts again before its lease is over.
  void RestartOwner() {
    const std::size_t owner = day->OwnerOf(0);
    day->KillInstance(owner);
    day->Run(milliseconds(550), false);
    day->StartInstance(owner);
  }

  void KillAll() {
    for (std::size_t i = 0; i < settings.instances; ++i)
      day->KillInstance(i);
  }

  /// Lets the time pass and observes the lasting tasks meanwhile.
  void Watch(lasting_task_monitor& monitor,
             milliseconds time,
             std::optional<base::time_point> calm_since) {
    const base::time_point end = day->Now() + time;
    while (day->Now() < end) {
      day->Run(lasting_task_monitor::kInterval, false);
      monitor.Observe(calm_since);
    }
  }

  void CheckAllRun() {
    BOOST_TEST(day->IdleLastingTasks().size() == 0u);
    CheckPromises();
  }

  std::vector<std::string> crashed;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(lasting_tasks, lasting_fixture)

BOOST_AUTO_TEST_CASE(TasksOfReplacedWorkersRunAgainAfterTheOwnerRestarted) {
  Crash();
  day->Run(seconds(1), false);
  RestartOwner();
  day->Run(milliseconds(450), false);
  Unlist();
  Replace();
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfLostWorkersRunAgainAfterTheOwnerStopped) {
  Crash();
  Unlist();
  day->StopInstance(day->OwnerOf(0));
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfLostWorkersRunAgainAfterTheSameOwnerCameBack) {
  Crash();
  Unlist();
  const std::size_t owner = day->OwnerOf(0);
  day->Store().Faults().silent = true;
  day->Store().Faults().leases_lapse = true;
  day->Run(milliseconds(4500), false);
  day->Store().Faults() = {};
  day->Run(seconds(2), false);
  BOOST_REQUIRE(day->OwnerOf(0) == owner);
  day->Run(kRunsAgainWithin - seconds(2), false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfLostWorkersRunAgainAfterTheOwnerIsLostToo) {
  Crash();
  Unlist();
  ChangeOwner(seconds(2) + milliseconds(500));
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfWorkersLostRightAfterATakeoverRunAgain) {
  ChangeOwner(seconds(3));
  Crash();
  Unlist();
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfWorkersLostWithANewOwnerRunAgainAfterItRestarted) {
  ChangeOwner(seconds(3));
  Crash();
  Unlist();
  RestartOwner();
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfLostWorkersRunAgainAfterANewOwnerStopped) {
  ChangeOwner(seconds(3));
  Crash();
  Unlist();
  day->StopInstance(day->OwnerOf(0));
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfLostWorkersRunAgainInTimeWheneverTheyAreLost) {
  for (int phase = 0; phase < kPhases; ++phase) {
    day.reset();
    Day();
    for (int i = 0; i < 6; ++i)
      day->Submit(settings.queues[0]);
    day->Run(seconds(4) + phase * kPhase, false);
    Crash();
    Unlist();
    day->Run(kIdleAtMost, false);
    BOOST_TEST(day->IdleLastingTasks().size() == 0u, "phase " << phase);
  }
}

BOOST_AUTO_TEST_CASE(TasksOfReplacedWorkersRunAgainUnderAnotherOwner) {
  Crash();
  Unlist();
  ChangeOwner(seconds(3));
  Replace();
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfLostWorkersRunAgainThoughOwnersChange) {
  Crash();
  Unlist();
  for (int change = 0; change < 4; ++change)
    ChangeOwner(seconds(4));
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfWorkersLostWithTheirOwnerRunAgain) {
  Crash();
  Unlist();
  RestartOwner();
  day->Run(kRunsAgainWithin, false);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksWithoutARunBreakAPromiseOnceAllHasBeenCalm) {
  KillAll();
  Crash();
  const std::size_t idle = day->IdleLastingTasks().size();
  const base::time_point calm_since = day->Now();
  lasting_task_monitor monitor(*day);
  // The other tasks run until their leases are over.
  Watch(monitor, kRunsAgainWithin - lasting_task_monitor::kInterval,
        calm_since);
  BOOST_TEST(monitor.Broken().size() == 0u);
  Watch(monitor, lasting_task_monitor::kInterval, calm_since);
  BOOST_TEST(monitor.Broken().size() == idle);
  Watch(monitor, seconds(20), calm_since);
  BOOST_TEST(monitor.Broken().size() == 24u);
}

BOOST_AUTO_TEST_CASE(TasksWithoutARunBreakNoPromiseDuringAFault) {
  KillAll();
  Crash();
  lasting_task_monitor monitor(*day);
  Watch(monitor, seconds(30), std::nullopt);
  BOOST_TEST(monitor.Broken().size() == 0u);
}

BOOST_AUTO_TEST_CASE(TasksWithoutARunBreakNoPromiseWithoutRoom) {
  KillAll();
  Crash();
  for (const std::string& id : day->Workers().Ids())
    day->Workers().FaultsOf(id).cut_off = true;
  lasting_task_monitor monitor(*day);
  Watch(monitor, seconds(30), day->Now());
  BOOST_TEST(monitor.Broken().size() == 0u);
  BOOST_TEST(!day->IdleLastingTasks().empty());
}

BOOST_AUTO_TEST_CASE(RoomIsWhatIsNotReservedOnSoundWorkers) {
  // Each worker of 16 cores and 64 GB takes five tasks of 3 cores.
  const submissions::task_ref task{"0000000000000001", 0, 0, 0};
  BOOST_TEST(day->Workers().RoomFor(task) == 12u * 5 - 24);
  day->Workers().Crash("w-000");
  day->Workers().FaultsOf("w-001").cut_off = true;
  const std::size_t left = day->Workers().RoomFor(task);
  BOOST_TEST(left < 36u);
  BOOST_TEST(left >= 26u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
