#ifndef CHIVECRANK_WORKERS_TYPES_H_
#define CHIVECRANK_WORKERS_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/platform/types.h"

/// Task commands to the agents of workers.
namespace chivecrank::workers {

/// Names one attempt of a task.
struct attempt_id {
  std::string task_id;
  std::int32_t attempt = 0;

  bool operator==(const attempt_id&) const = default;
};

/// Orders a worker to start an attempt under a lease. The worker stops it by
/// itself when the lease ends.
struct start_command {
  std::uint64_t epoch = 0;
  attempt_id attempt;
  std::string template_name;
  platform::resources demand;
  std::chrono::milliseconds run_time{0};
  std::chrono::milliseconds lease{0};
};

/// Orders a worker to stop an attempt.
struct stop_command {
  std::uint64_t epoch = 0;
  attempt_id attempt;
};

/// Renews the leases of the attempts in `keep` and lets the worker forget the
/// ended attempts in `acknowledged`.
struct sync_command {
  std::uint64_t epoch = 0;
  std::chrono::milliseconds lease{0};
  std::vector<attempt_id> keep;
  std::vector<attempt_id> acknowledged;
};

/// What a worker says of an attempt.
enum class attempt_state { kRunning, kDone, kFailed, kStopped };

std::string_view AttemptStateName(attempt_state value);
std::optional<attempt_state> AttemptStateFromName(std::string_view name);

/// One attempt that a worker knows.
struct attempt_report {
  attempt_id attempt;
  attempt_state state = attempt_state::kRunning;
};

/// All attempts that a worker knows: those that run and those that ended and
/// were not acknowledged yet.
struct inventory {
  std::vector<attempt_report> attempts;
};

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_TYPES_H_
