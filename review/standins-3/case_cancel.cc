#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cases.h"
#include "record.h"

namespace review {
namespace {

/// Within the 1 to 6 s after which the pages let a write without an answer
/// take effect.
constexpr int kLateMs = 5900;
constexpr int kWatchedMs = 16'000;

/// Whether a task of the submission started, or worked on, later than the
/// pages allow after its cancelling was acknowledged at `cancelled_at_ms`.
bool RunsAfterCancel(const std::string& record_file,
                     const std::string& id,
                     std::int64_t cancelled_at_ms) {
  bool broken = false;
  std::map<std::string, std::int64_t> running;
  for (const run_event& event : ReadRuns(record_file)) {
    if (!event.task.starts_with(id))
      continue;
    if (event.what == "ends")
      running.erase(event.task);
    if (event.what != "starts")
      continue;
    running[event.task] = event.at_ms;
    const std::int64_t after = event.at_ms - cancelled_at_ms;
    if (after <= kCancelMs)
      continue;
    record::Write("broken: " + event.task + " starts " + std::to_string(after) +
                  " ms after its cancelling was acknowledged");
    broken = true;
  }
  const std::int64_t now = record::WallMs();
  for (const auto& [task, since] : running) {
    if (now - cancelled_at_ms <= kCancelMs + kStopMs ||
        now - since <= kContactMs + kCancelMs + kStopMs)
      continue;
    record::Write("broken: " + task + " still runs " +
                  std::to_string(now - cancelled_at_ms) +
                  " ms after its cancelling was acknowledged");
    broken = true;
  }
  return broken;
}

}  // namespace

int CancelWhileInDoubt(const case_input& input) {
  deployment& system = input.system;
  if (!system.Start(2, 4))
    return 2;
  const std::string id = system.NewId();
  if (input.trouble)
    system.Store().SetFate([id](const store::transaction& changes) {
      for (const store::write& written : changes.writes)
        if (written.key.ends_with(id)) {
          record::Write("store leaves a write of " + written.key +
                        " without an answer");
          return store::fate{false, kLateMs};
        }
      return store::fate{};
    });
  const std::vector<step> watch = {{.count = 3, .lasts = true}};
  const int submitted = system.Submit(0, "watch", id, "lasts", watch);
  const int cancelled = system.Cancel(0, "watch", id);
  const std::int64_t cancelled_at = record::WallMs();
  system.Store().SetFate(nullptr);
  const bool acknowledged =
      (cancelled >= 200 && cancelled < 300) || cancelled == 410;
  // A submission that was told to run shows that the deployment works.
  const std::string other = system.NewId();
  const int accepted = system.Submit(1, "callout", other, "ms=800", {{}});
  if (submitted == 503 || submitted == 429 || !acknowledged || accepted != 200)
    return 2;
  SleepMs(kWatchedMs);
  system.State(0, "watch", id);
  system.State(1, "watch", id);
  if (system.State(1, "callout", other) != "completed")
    return 2;
  return RunsAfterCancel(input.record_file, id, cancelled_at) ? 1 : 0;
}

}  // namespace review
