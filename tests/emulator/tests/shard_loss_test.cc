#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::seconds;

constexpr std::size_t kServices = 7;
/// The shard that loses workers.
constexpr std::string_view kShard = "1";
/// A task of a lost worker runs again by then.
constexpr seconds kRunsAgainWithin{10};

/// The text of a field of a log line; numbers end at a comma or the line's end.
std::string FieldOf(std::string_view line, std::string_view name) {
  const std::string start = "\"" + std::string(name) + "\":";
  const std::size_t at = line.find(start);
  if (at == std::string_view::npos)
    return {};
  line.remove_prefix(at + start.size());
  if (line.starts_with('"'))
    line.remove_prefix(1);
  return std::string(line.substr(0, line.find_first_of("\",}")));
}

/// Two shards with services on a quarter of the processors; workers of one
/// shard are lost for good, one after another.
struct shard_loss_fixture : day_fixture {
  shard_loss_fixture() {
    settings.workers = 24;
    settings.workers_per_shard = 12;
    settings.queues = {LastingLoad()};
    settings.on_log_line = [this](std::string_view lines) {
      ReadAssignments(lines);
    };
    Day();
    for (std::size_t i = 0; i < kServices; ++i)
      day->Submit(settings.queues[0]);
    day->Run(seconds(5), false);
    BOOST_REQUIRE(day->IdleLastingTasks().empty());
  }

  /// Lines may come several at once.
  void ReadAssignments(std::string_view lines) {
    while (!lines.empty()) {
      const std::string_view line = lines.substr(0, lines.find('\n'));
      if (FieldOf(line, "event") == "task_assigned")
        shard_of[FieldOf(line, "worker")] = FieldOf(line, "shard");
      lines.remove_prefix(std::min(lines.size(), line.size() + 1));
    }
  }

  /// The workers of the shard that have had runs and aren't lost.
  std::vector<std::string> UsedWorkers() const {
    std::vector<std::string> used;
    for (const auto& [worker, shard] : shard_of)
      if (shard == kShard && !day->Workers().IsCrashed(worker))
        used.push_back(worker);
    return used;
  }

  /// The tasks of a lost worker run elsewhere before the next is lost.
  void LoseWorkersBut(std::size_t kept) {
    BOOST_REQUIRE(!UsedWorkers().empty());
    for (auto used = UsedWorkers(); used.size() > kept; used = UsedWorkers()) {
      day->Workers().Crash(used.front());
      day->Unlist(used.front());
      day->Run(kRunsAgainWithin, false);
    }
  }

  void CheckAllRun() {
    const submissions::task_ref task{"0000000000000001", 0, 0, 0};
    const auto idle = day->IdleLastingTasks();
    BOOST_TEST_INFO("room for " << day->Workers().RoomFor(task));
    BOOST_TEST(idle.size() == 0u);
    BOOST_TEST(day->Total().failed == 0u);
    CheckPromises();
  }

  std::map<std::string, std::string> shard_of;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_loss, shard_loss_fixture)

BOOST_AUTO_TEST_CASE(TasksWithoutRoomInTheirShardRunInAnother) {
  LoseWorkersBut(1);
  CheckAllRun();
}

BOOST_AUTO_TEST_CASE(TasksOfAShardWithoutWorkersRunInAnother) {
  LoseWorkersBut(0);
  CheckAllRun();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
