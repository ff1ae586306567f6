#include <string>
#include <vector>

#include "cases.h"
#include "record.h"

namespace review {
namespace {

constexpr std::size_t kWorkers = 8;
constexpr std::size_t kChanging = 2;
constexpr std::size_t kSteady = 5;
constexpr int kRounds = 4;
constexpr int kBetweenMs = 40;
constexpr int kLoadMs = 4000;
constexpr int kDownMs = 300;

}  // namespace

int WorkerOfOtherKind(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, kWorkers))
    return 2;
  const auto change = [&](std::size_t worker, const std::string& kind) {
    system.KillWorker(worker);
    SleepMs(kDownMs);
    system.StartWorker(worker, kind);
  };
  change(kSteady, "b");
  SleepMs(kLoadMs);
  const auto load = [&] {
    const std::int64_t end = record::SteadyMs() + kLoadMs;
    while (record::SteadyMs() < end) {
      system.Submit(0, "callout", system.NewId(), "ms=400 needs-b",
                    {{.count = 2, .cpu = 1100, .needed_kind = "b"}});
      SleepMs(kBetweenMs);
    }
  };
  for (int round = 0; round < kRounds; ++round) {
    if (input.trouble)
      change(kChanging, "b");
    load();
    if (input.trouble)
      change(kChanging, "a");
    load();
  }
  bool broken = false;
  bool served = false;
  for (const run_event& event : ReadRuns(input.record_file)) {
    if (event.what != "starts")
      continue;
    served = true;
    if (event.text.find("kind=b") != std::string::npos)
      continue;
    record::Write("broken: without the label: " + event.text);
    broken = true;
  }
  if (!served)
    return 2;
  return broken ? 1 : 0;
}

}  // namespace review
