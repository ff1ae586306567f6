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

/// Task commands to the agents of workers.
namespace chivecrank::workers {

/// Names one attempt of a task.
struct attempt_id {
  std::string task_id;
  std::int32_t attempt = 0;

  bool operator==(const attempt_id&) const = default;
  bool operator<(const attempt_id& other) const {
    return std::tie(task_id, attempt) < std::tie(other.task_id, other.attempt);
  }
};

/// Orders a worker to run an attempt. Repeating it has no effect.
struct start_command {
  attempt_id attempt;
  std::string template_name;
  coordination::resources demand;
  std::chrono::milliseconds run_time{0};
  /// Run time that the checkpoint of an earlier attempt holds; 0 to start
  /// anew.
  std::chrono::milliseconds saved{0};
};

/// Orders a worker to stop an attempt.
struct stop_command {
  attempt_id attempt;
  /// Whether it saves its progress first.
  bool save = false;
};

/// Renews the lease of a worker, which bounds every attempt on it, and carries
/// all commands for it. See protocol::worker_fence for what counts.
struct sync_command {
  protocol::sync_sequence order;
  std::chrono::milliseconds term{0};
  /// The position of the newest report of this run of the agent that was
  /// taken in; 0 asks for a full report.
  std::uint64_t position = 0;
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  /// Ended attempts that the worker may forget.
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
  /// Run time that the newest checkpoint holds.
  std::chrono::milliseconds saved{0};
};

/// A worker's answer to a sync.
struct sync_report {
  /// Identifies the process run of the agent.
  std::string incarnation;
  /// Whether this names every attempt that the worker knows (those that run
  /// and those that ended and were not acknowledged), or only the changes
  /// after the position in the command.
  bool full = false;
  std::uint64_t position = 0;
  std::vector<attempt_report> attempts;
};

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_TYPES_H_
