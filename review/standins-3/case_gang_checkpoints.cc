#include <map>
#include <string>
#include <vector>

#include "cases.h"
#include "record.h"

namespace review {
namespace {

constexpr std::size_t kWorkers = 8;
constexpr std::size_t kCrashing = 2;
constexpr int kGangs = 8;
constexpr int kMembers = 8;
constexpr int kBetweenMs = 130;
constexpr int kWorkBeforeMs = 2600;
constexpr int kDownMs = 800;
constexpr int kWatchedMs = 30'000;
/// After the crash: the span in which it excuses a gang that doesn't come
/// together.
constexpr int kExcusedMs = 2 * kContactMs;

}  // namespace

int GangCheckpoints(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, kWorkers))
    return 2;
  SleepMs(3000);
  std::vector<std::string> ids;
  for (int i = 0; i < kGangs; ++i) {
    const std::string id = system.NewId();
    ids.push_back(id);
    step members{.count = kMembers,
                 .cpu = 1800,
                 .estimate_ms = 9000,
                 .gang = true,
                 .saves = true};
    members.per_worker = 1;
    if (system.Submit(0, "round", id,
                      "ms=9000 saves gang=" + std::to_string(kMembers),
                      {members}) != 200)
      return 2;
    SleepMs(kBetweenMs);
  }
  SleepMs(kWorkBeforeMs);
  if (input.trouble) {
    system.KillWorker(kCrashing);
    SleepMs(kDownMs);
    system.StartWorker(kCrashing);
  }
  const std::int64_t back_at = record::WallMs();
  SleepMs(kWatchedMs);
  std::map<std::string, int> alone;
  for (const run_event& event : ReadRuns(input.record_file))
    if (event.what == "ends" && event.how == "alone" &&
        event.at_ms - back_at > kExcusedMs)
      ++alone[event.task.substr(0, 16)];
  std::size_t completed = 0;
  for (const std::string& id : ids)
    completed += system.State(1, "round", id) == "completed" ? 1 : 0;
  for (const auto& [id, ends] : alone)
    record::Write("broken: " + std::to_string(ends) + " runs of " + id +
                  " ended alone over " + std::to_string(kExcusedMs) +
                  " ms after the crashed worker was back");
  record::Write(std::to_string(completed) + " of " +
                std::to_string(ids.size()) + " gangs completed");
  if (!alone.empty())
    return 1;
  return completed == ids.size() ? 0 : 2;
}

}  // namespace review
