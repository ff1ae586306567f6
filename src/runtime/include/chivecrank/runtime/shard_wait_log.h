#ifndef CHIVECRANK_RUNTIME_SHARD_WAIT_LOG_H_
#define CHIVECRANK_RUNTIME_SHARD_WAIT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/submissions/domain_drain.h"
#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::runtime {

/// Logs what the owner of a shard waits for: runs on workers that don't answer,
/// and what is left in drained failure domains. Lines are written when
/// something has changed.
class shard_wait_log {
 public:
  shard_wait_log(event_log::event_log& log, std::uint32_t shard)
      : log_(log), shard_(shard) {}

  void OnAwaitedRuns(const submissions::awaited_runs& awaited);
  /// Whether a second has passed since drains were logged last.
  bool IsDrainLogDue(base::time_point now) const;
  void OnDrains(const std::vector<submissions::domain_drain>& drains,
                base::time_point now);
  /// Other domains are drained from now on.
  void ForgetDrains() { left_in_drained_.clear(); }

 private:
  void WriteDrain(const submissions::domain_drain& drain, base::time_point now);

  event_log::event_log& log_;
  const std::uint32_t shard_;
  std::size_t awaited_workers_ = 0;
  /// Runs left in each drained domain, as last logged.
  std::map<std::string, std::size_t> left_in_drained_;
  base::time_point drains_logged_at_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_WAIT_LOG_H_
