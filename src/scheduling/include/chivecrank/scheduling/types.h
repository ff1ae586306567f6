#ifndef CHIVECRANK_SCHEDULING_TYPES_H_
#define CHIVECRANK_SCHEDULING_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "chivecrank/platform/types.h"

/// Deterministic decisions about tasks: state, event and time in, actions out.
namespace chivecrank::scheduling {

/// Where a task stands in its life.
enum class task_state {
  kPending,
  kRunning,
  kDone,
  kFailed,
  kCancelled,
};

std::string_view TaskStateName(task_state value);

/// Whether a task in this state will never run again.
bool IsFinal(task_state value);

/// How an attempt ended.
enum class attempt_outcome { kDone, kFailed, kLost, kStopped };

std::string_view AttemptOutcomeName(attempt_outcome value);

/// What a task was accepted with.
struct task_request {
  std::string id;
  std::string account;
  std::string team;
  std::string template_name;
  platform::resources demand;
  std::chrono::milliseconds run_time{0};
  bool urgent = false;
  std::int64_t attempt_limit = 1;
};

/// A task of a shard.
struct task {
  task_request request;
  task_state state = task_state::kPending;
  /// Number of the newest attempt; 0 before the first.
  std::int32_t attempt = 0;
  /// Attempts that failed by themselves.
  std::int32_t failures = 0;
  /// Where the newest attempt runs or ran.
  std::string worker_id;
};

/// A task was accepted.
struct task_accepted {
  task_request request;
};

/// An attempt was decided; its start command goes out after this is recorded.
struct attempt_started {
  std::string task_id;
  std::int32_t attempt = 0;
  std::string worker_id;
};

/// An attempt ended.
struct attempt_ended {
  std::string task_id;
  std::int32_t attempt = 0;
  attempt_outcome outcome = attempt_outcome::kDone;
};

/// The client account cancelled the task.
struct task_cancelled {
  std::string task_id;
};

/// What the journal of a shard records.
using event =
    std::variant<task_accepted, attempt_started, attempt_ended, task_cancelled>;

/// A worker that takes tasks of this shard.
struct worker_view {
  std::string id;
  platform::resources capacity;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_TYPES_H_
