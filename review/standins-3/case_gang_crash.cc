#include <algorithm>
#include <cstdint>
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
constexpr int kQuietMs = 3000;
/// Traffic after the crash; then the rule gives `finish_s`, and 3 s in which
/// something of the submission has to run.
constexpr int kTrafficMs = 16'000;
constexpr int kBetweenMs = 1000;
constexpr int kFinishMs = 14'000;
constexpr int kIdleMs = 3000;

/// The workers on which the gang started.
std::set<std::string> WorkersOf(const std::string& record_file,
                                const std::string& id) {
  std::set<std::string> workers;
  for (const run_event& event : ReadRuns(record_file))
    if (event.what == "starts" && event.task.starts_with(id))
      workers.insert(event.worker);
  return workers;
}

/// Whether the submission hasn't ended and nothing of it has started or run for
/// as long as the rule gives.
bool IsIdle(const case_input& input,
            const std::string& queue,
            const std::string& id) {
  const std::string state = input.system.State(1, queue, id);
  if (state == "completed")
    return false;
  std::int64_t last_ms = 0;
  for (const run_event& event : ReadRuns(input.record_file))
    if (event.task.starts_with(id))
      last_ms = std::max(last_ms, event.at_ms);
  const std::int64_t idle_ms = record::WallMs() - last_ms;
  record::Write("broken: " + id + " of " + queue + " is shown as " + state +
                (last_ms == 0 ? ", and nothing of it has ever started"
                              : ", and nothing of it has started or run for " +
                                    std::to_string(idle_ms) + " ms"));
  return idle_ms > kIdleMs;
}

}  // namespace

int GangAfterCrash(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, kWorkers))
    return 2;
  SleepMs(kQuietMs);
  const std::string spec = "ms=2000 gang=" + std::to_string(kMembers);
  const std::vector<step> members = {
      {.count = kMembers, .cpu = 1800, .estimate_ms = 2000, .gang = true}};
  const std::string first = system.NewId();
  if (system.Submit(0, "callout", first, spec, members) != 200)
    return 2;
  std::set<std::string> workers;
  for (int waited = 0; workers.empty() && waited < kStartTimeoutMs;
       waited += 20) {
    SleepMs(20);
    workers = WorkersOf(input.record_file, first);
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
  SleepMs(kQuietMs);
  // A gang of a queue of lower priority, after the crash.
  const std::string second = system.NewId();
  if (system.Submit(1, "round", second, spec, members) != 200)
    return 2;
  const std::int64_t end = record::SteadyMs() + kTrafficMs;
  while (record::SteadyMs() < end) {
    // Others are served meanwhile.
    if (system.Submit(1, "callout", system.NewId(), "ms=300", {{}}) != 200)
      return 2;
    SleepMs(kBetweenMs);
  }
  SleepMs(kFinishMs + kIdleMs);
  const bool first_broken = IsIdle(input, "callout", first);
  const bool second_broken = IsIdle(input, "round", second);
  return first_broken || second_broken ? 1 : 0;
}

}  // namespace review
