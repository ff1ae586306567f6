#include "chivecrank/runtime/shard_wait_log.h"

#include <chrono>

namespace chivecrank::runtime {
namespace {

constexpr std::chrono::milliseconds kDrainLogInterval{1000};

std::int64_t ToMilliseconds(base::duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

void shard_wait_log::OnAwaitedRuns(const submissions::awaited_runs& awaited) {
  if (awaited.workers == awaited_workers_)
    return;
  awaited_workers_ = awaited.workers;
  log_.Write("runs_awaited", {{"shard", shard_},
                              {"workers", awaited.workers},
                              {"runs", awaited.runs},
                              {"longest_ms", awaited.longest_wait.count()}});
}

bool shard_wait_log::IsDrainLogDue(base::time_point now) const {
  return now - drains_logged_at_ >= kDrainLogInterval;
}

void shard_wait_log::OnDrains(
    const std::vector<submissions::domain_drain>& drains,
    base::time_point now) {
  drains_logged_at_ = now;
  for (const submissions::domain_drain& drain : drains) {
    const auto [known, is_new] =
        left_in_drained_.try_emplace(drain.failure_domain, drain.RunsLeft());
    if (!is_new && known->second == drain.RunsLeft())
      continue;
    known->second = drain.RunsLeft();
    WriteDrain(drain, now);
  }
}

void shard_wait_log::WriteDrain(const submissions::domain_drain& drain,
                                base::time_point now) {
  log_.Write("domain_drain", {{"shard", shard_},
                              {"domain", drain.failure_domain},
                              {"since_ms", ToMilliseconds(now - drain.since)},
                              {"workers", drain.workers},
                              {"long_running", drain.long_running},
                              {"ending", drain.ending},
                              {"best_effort", drain.best_effort},
                              {"moved", drain.moved},
                              {"empty", drain.empty_since.has_value()}});
}

}  // namespace chivecrank::runtime
