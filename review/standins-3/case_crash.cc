#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cases.h"
#include "record.h"

namespace review {
namespace {

/// One of eight: less than the share of workers that may crash.
constexpr std::size_t kWorkers = 8;
constexpr std::size_t kCrashing = 2;
/// The worker goes down and up by turns, for as long as the pages name.
constexpr int kUpMs = 350;
constexpr int kDownMs = 750;
constexpr int kCrashes = 6;
constexpr int kBetweenMs = 250;
constexpr int kQuietMs = 4000;
constexpr int kWatchedMs = 16'000;

/// How many runs of each submission ended as failed.
std::map<std::string, int> FailedRuns(const std::string& record_file) {
  std::map<std::string, int> failed;
  for (const run_event& event : ReadRuns(record_file))
    if (event.what == "ends" && event.how == "failed")
      ++failed[event.task.substr(0, 16)];
  return failed;
}

}  // namespace

int WorkerInCrashLoop(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, kWorkers))
    return 2;
  SleepMs(kQuietMs);
  std::vector<std::pair<std::string, std::string>> accepted;
  const auto submit = [&](const std::string& queue, const std::string& spec,
                          const std::vector<step>& steps) {
    const std::string id = system.NewId();
    if (system.Submit(accepted.size() % 2, queue, id, spec, steps) == 200)
      accepted.emplace_back(queue, id);
  };
  const auto load = [&](int for_ms) {
    const std::int64_t end = record::SteadyMs() + for_ms;
    while (record::SteadyMs() < end) {
      submit("callout", "ms=800", {{.count = 2, .cpu = 1100}});
      SleepMs(kBetweenMs);
    }
  };
  // A service with a task on each worker.
  submit("watch", "lasts",
         {{.count = static_cast<int>(kWorkers),
           .cpu = 2000,
           .lasts = true,
           .per_worker = 1}});
  load(kQuietMs);
  for (int crash = 0; crash < kCrashes; ++crash) {
    if (input.trouble)
      system.KillWorker(kCrashing);
    SleepMs(kDownMs);
    if (input.trouble)
      system.StartWorker(kCrashing);
    SleepMs(kUpMs);
  }
  load(kWatchedMs);
  SleepMs(kQuietMs);
  const auto failed_runs = FailedRuns(input.record_file);
  bool broken = false;
  std::size_t completed = 0;
  for (const auto& [queue, id] : accepted) {
    const std::string state = system.State(0, queue, id);
    completed += state == "completed" ? 1 : 0;
    if (state != "failed" || failed_runs.contains(id))
      continue;
    record::Write("broken: " + id + " of " + queue +
                  " is shown as failed, and none of its runs ended failed");
    broken = true;
  }
  record::Write(std::to_string(accepted.size()) + " accepted, " +
                std::to_string(completed) + " completed");
  if (broken)
    return 1;
  return completed + 1 == accepted.size() ? 0 : 2;
}

}  // namespace review
