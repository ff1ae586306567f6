#ifndef CHIVECRANK_WORKERS_TYPES_H_
#define CHIVECRANK_WORKERS_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/protocol/types.h"

/// Commands to the agents of workers, and their reports.
namespace chivecrank::workers {

/// Identifies one attempt of a task.
struct attempt_id {
  std::string task_id;
  std::int32_t attempt = 0;

  bool operator==(const attempt_id&) const = default;
  bool operator<(const attempt_id& other) const {
    return std::tie(task_id, attempt) < std::tie(other.task_id, other.attempt);
  }
};

/// Commands a worker to run an attempt. The command is idempotent.
struct start_command {
  attempt_id attempt;
  std::string template_name;
  coordination::resources demand;
  std::chrono::milliseconds run_time{0};
  /// Run time saved in the checkpoint of an earlier attempt; 0 to start from
  /// the beginning.
  std::chrono::milliseconds saved{0};
};

/// Commands a worker to stop an attempt.
struct stop_command {
  attempt_id attempt;
  /// Whether the attempt saves a checkpoint of its progress first.
  bool save = false;
};

/// Renews the lease of a worker and carries all commands for it. No attempt
/// runs on the worker beyond the lease. protocol::worker_fence decides which
/// syncs a worker accepts.
struct sync_command {
  protocol::sync_sequence order;
  std::chrono::milliseconds term{0};
  /// Position of the newest processed report of this incarnation of the agent;
  /// 0 requests a full report.
  std::uint64_t position = 0;
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  /// Ended attempts that the worker no longer needs to report.
  std::vector<attempt_id> acknowledged;
};

/// State of an attempt, as reported by its worker.
enum class attempt_state { kRunning, kDone, kFailed, kStopped };

std::string_view AttemptStateName(attempt_state value);
std::optional<attempt_state> AttemptStateFromName(std::string_view name);

/// A worker's report of one attempt.
struct attempt_report {
  attempt_id attempt;
  attempt_state state = attempt_state::kRunning;
  /// Run time saved in the newest checkpoint.
  std::chrono::milliseconds saved{0};
};

/// A worker's answer to a sync.
struct sync_report {
  /// Identifies one lifetime of the agent's process.
  std::string incarnation;
  /// If true, the report lists every running attempt and every ended attempt
  /// that was not acknowledged; otherwise only the changes after the position
  /// in the command.
  bool full = false;
  std::uint64_t position = 0;
  std::vector<attempt_report> attempts;
};

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_TYPES_H_
