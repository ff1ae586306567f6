#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "cases.h"
#include "record.h"

namespace review {
namespace {

constexpr std::size_t kWorkers = 8;
/// The service leaves three workers free and takes 49% of all cores.
constexpr int kServiceTasks = 5;
constexpr int kServiceCpu = 12'500;
/// A member has no room beside a task of the service. The free workers have
/// room for six, which is the gang three times over.
constexpr int kMembers = 2;
constexpr int kMemberCpu = 8000;
/// As many as the workers of the service have room for, but one.
constexpr int kCalloutTasks = 14;
constexpr int kQuietMs = 4000;
constexpr int kTrafficMs = 12'000;
constexpr int kBetweenMs = 600;
/// The gang was the last request; then the rule gives `finish_s`, and 3 s in
/// which something of it has to run.
constexpr int kFinishMs = 14'000;
constexpr int kIdleMs = 3000;

}  // namespace

int GangMemberFails(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, kWorkers))
    return 2;
  SleepMs(kQuietMs);
  const std::string service = system.NewId();
  if (system.Submit(0, "watch", service, "lasts",
                    {{.count = kServiceTasks,
                      .cpu = kServiceCpu,
                      .lasts = true,
                      .per_worker = 1}}) != 200)
    return 2;
  SleepMs(kQuietMs);
  const std::int64_t end = record::SteadyMs() + kTrafficMs;
  while (record::SteadyMs() < end) {
    if (system.Submit(1, "callout", system.NewId(), "ms=400",
                      {{.count = kCalloutTasks, .cpu = 1000}}) != 200)
      return 2;
    SleepMs(kBetweenMs);
  }
  const std::string gang = system.NewId();
  const std::string spec =
      "ms=1000 gang=" + std::to_string(kMembers) +
      (input.trouble ? " first-fails=" + std::to_string(kMembers - 1) : "");
  if (system.Submit(0, "round", gang, spec,
                    {{.count = kMembers,
                      .cpu = kMemberCpu,
                      .estimate_ms = 1000,
                      .gang = true}}) != 200)
    return 2;
  SleepMs(kFinishMs + kIdleMs);
  const std::string state = system.State(1, "round", gang);
  if (state == "completed")
    return 0;
  std::int64_t last_ms = 0;
  int failed = 0;
  for (const run_event& event : ReadRuns(input.record_file)) {
    if (!event.task.starts_with(gang))
      continue;
    last_ms = std::max(last_ms, event.at_ms);
    failed += event.how == "failed" ? 1 : 0;
  }
  const std::int64_t idle_ms = record::WallMs() - last_ms;
  record::Write("broken: " + gang + " is shown as " + state + ", " +
                std::to_string(failed) +
                " run has failed, and nothing of it has started or run for " +
                std::to_string(idle_ms) + " ms");
  return idle_ms > kIdleMs && state != "failed" ? 1 : 2;
}

}  // namespace review
