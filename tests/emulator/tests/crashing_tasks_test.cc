#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Submissions whose tasks crash the workers that start them.
struct crashing_tasks_fixture : day_fixture {
  /// Hands in a submission of which one task is deadly.
  std::string SubmitDeadly() {
    Day().SetDeadlyShare(1);
    std::string id = day->Submit(settings.queues[0]);
    day->SetDeadlyShare(0);
    return id;
  }

  void CheckGivenUp(const std::string& id) {
    BOOST_TEST((day->StateOf(id) == runtime::submission_state::kFailed));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_tasks, crashing_tasks_fixture)

BOOST_AUTO_TEST_CASE(ATaskThatCrashesItsWorkersIsGivenUp) {
  const std::string deadly = SubmitDeadly();
  day->Run(seconds(15), true);
  CheckPromises();
  CheckGivenUp(deadly);
}

BOOST_AUTO_TEST_CASE(ATaskThatCrashesItsWorkersIsGivenUpWhileOwnersDie) {
  const std::string deadly = SubmitDeadly();
  for (int change = 0; change < 5; ++change) {
    day->Run(milliseconds(2300), true);
    const std::size_t owner = day->OwnerOf(0);
    if (owner == settings.instances)
      continue;
    day->KillInstance(owner);
    day->Run(milliseconds(700), true);
    day->StartInstance(owner);
  }
  day->Run(seconds(15), false);
  CheckPromises();
  CheckGivenUp(deadly);
}

BOOST_AUTO_TEST_CASE(ServicesOfWhichOneTaskCrashesWorkersAreGivenUp) {
  settings.queues = {LastingLoad()};
  const std::string deadly = SubmitDeadly();
  day->Run(seconds(15), false);
  CheckPromises();
  CheckGivenUp(deadly);
}

BOOST_AUTO_TEST_CASE(NothingIsGivenUpWhenWorkersCrashInSeries) {
  Day();
  for (int crash = 0; crash < 5; ++crash) {
    std::vector<std::string> hit = day->Workers().Ids();
    hit.resize(hit.size() / 2);
    for (const std::string& worker : hit) {
      day->Workers().Crash(worker);
      day->Unlist(worker);
    }
    day->Run(seconds(3), true);
    for (const std::string& worker : hit)
      day->Restart(worker);
    day->Run(milliseconds(100), true);
  }
  day->Run(seconds(15), false);
  CheckPromises();
  BOOST_TEST(day->Total().failed == 0u);
}

BOOST_AUTO_TEST_CASE(NothingStartsBeyondACapacityThatHasShrunk) {
  settings.workers_guard_capacity = false;
  settings.queues[0].per_second = 12;
  Day();
  for (int change = 0; change < 4; ++change) {
    std::vector<std::string> hit = day->Workers().Ids();
    hit.resize(hit.size() / 2);
    for (const std::string& worker : hit)
      day->Resize(worker, change % 2 == 0 ? 0.2 : 0);
    day->Run(seconds(6), true);
    for (const std::string& worker : hit)
      day->Resize(worker, 1);
    day->Run(seconds(1), true);
  }
  CheckPromises();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
