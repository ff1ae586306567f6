#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cases.h"
#include "record.h"

namespace review {
namespace {

/// One of seven: less than the share of workers that may crash.
constexpr std::size_t kWorkers = 7;
constexpr int kMembers = 8;
constexpr int kStartTimeoutMs = 5000;
constexpr int kDownMs = 800;
/// The longest wait after the crash: far over the lease of a lost worker.
constexpr int kWatchedMs = 40'000;
constexpr int kQuietMs = 3000;
constexpr int kStateInterval = 2000;

/// The workers on which the gang started.
std::set<std::string> WorkersOf(const std::string& record_file,
                                const std::string& id) {
  std::set<std::string> workers;
  for (const run_event& event : ReadRuns(record_file))
    if (event.what == "starts" && event.task.starts_with(id))
      workers.insert(event.worker);
  return workers;
}

}  // namespace

int GangAfterCrash(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, kWorkers))
    return 2;
  SleepMs(kQuietMs);
  const std::string id = system.NewId();
  const int submitted = system.Submit(
      0, "round", id, "ms=2000 gang=" + std::to_string(kMembers),
      {{.count = kMembers, .cpu = 1800, .estimate_ms = 2000, .gang = true}});
  if (submitted != 200)
    return 2;
  std::set<std::string> workers;
  for (int waited = 0; workers.empty() && waited < kStartTimeoutMs;
       waited += 20) {
    SleepMs(20);
    workers = WorkersOf(input.record_file, id);
  }
  SleepMs(300);
  if (workers.empty())
    return 2;
  for (std::size_t i = 0; input.trouble && i < kWorkers; ++i) {
    if (system.WorkerId(i) != *workers.begin())
      continue;
    system.KillWorker(i);
    SleepMs(kDownMs);
    system.StartWorker(i);
  }
  const std::int64_t end = record::SteadyMs() + kWatchedMs;
  std::string state;
  while (record::SteadyMs() < end && state != "completed") {
    SleepMs(kStateInterval);
    state = system.State(1, "round", id);
    // Others are served meanwhile.
    const std::string other = system.NewId();
    if (system.Submit(1, "callout", other, "ms=300", {{}}) != 200)
      return 2;
  }
  if (state == "completed")
    return 0;
  std::int64_t last_ms = 0;
  for (const run_event& event : ReadRuns(input.record_file))
    if (event.task.starts_with(id))
      last_ms = std::max(last_ms, event.at_ms);
  record::Write("broken: " + id + " is shown as " + state +
                ", and nothing of it has run for " +
                std::to_string(record::WallMs() - last_ms) + " ms");
  return 1;
}

}  // namespace review
