#ifndef CHIVECRANK_SCHEDULING_TYPES_H_
#define CHIVECRANK_SCHEDULING_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"

/// Deterministic scheduling of tasks: takes state, events and times, and
/// returns the next events.
namespace chivecrank::scheduling {

/// State in the life cycle of a task.
enum class task_state {
  /// Waits for an attempt that starts without a checkpoint.
  kPending,
  /// The start of an attempt was recorded; its worker has not confirmed it.
  kStarting,
  kRunning,
  /// Runs with fewer processors than it requested.
  kThrottled,
  /// Saves a checkpoint, then stops.
  kCheckpointing,
  /// Waits for an attempt that resumes from its checkpoint.
  kEvicted,
  /// The start of an attempt from the checkpoint was recorded; its worker has
  /// not
  /// confirmed it.
  kResuming,
  kDone,
  kFailed,
  kCancelled,
  /// Not scheduled until an operator releases it.
  kParked,
};

std::string_view TaskStateName(task_state value);

/// Whether a task in this state can't run again.
bool IsFinal(task_state value);

/// Whether a task in this state waits for an attempt.
bool IsWaiting(task_state value);

/// How an attempt ended.
enum class attempt_outcome {
  kDone,
  /// Failed by itself; at the attempt limit the task fails.
  kFailed,
  kLost,
  kStopped,
  /// Failed by itself; the task is retried until it is parked.
  kCrashed,
  /// Ended by its memory limit; the task is retried with more memory.
  kOutOfMemory,
};

std::string_view AttemptOutcomeName(attempt_outcome value);

enum class task_kind {
  kBatch,
  /// A replica of a latency-critical service; runs until it is cancelled.
  kService,
};

std::string_view TaskKindName(task_kind value);

/// Description of a task, fixed when it is accepted.
struct task_request {
  std::string id;
  std::string account;
  std::string team;
  std::string template_name;
  coordination::resources demand;
  std::chrono::milliseconds run_time{0};
  bool urgent = false;
  std::int64_t attempt_limit = 1;
  task_kind kind = task_kind::kBatch;
  /// Whether the task can resume from a checkpoint.
  bool checkpoints = false;
  /// Wall-clock time by which the task should be done; the epoch means no
  /// limit.
  base::wall_time due;
  /// Tasks with the same non-empty gang start together or not at all.
  std::string gang;
  std::int64_t gang_size = 1;
};

/// A task of a shard.
struct task {
  task_request request;
  task_state state = task_state::kPending;
  /// Number of the newest attempt; 0 before the first.
  std::int32_t attempt = 0;
  /// Attempts that failed by themselves.
  std::int32_t failures = 0;
  /// Worker of the newest attempt; empty once the attempt's end is recorded.
  std::string worker_id;
  /// Resources granted to the open attempt.
  coordination::resources granted;
  /// Run time that the newest checkpoint holds.
  std::chrono::milliseconds saved_run_time{0};
  /// Distinct workers on which attempts failed by themselves, oldest first.
  std::vector<std::string> failed_worker_ids;
  /// Attempts that were ended by preemption, by mitigation for a service or
  /// because their gang lost a member.
  std::int32_t evictions = 0;
  /// Attempts that were ended by their memory limit.
  std::int32_t out_of_memory_count = 0;
  std::string parked_reason;
};

struct task_accepted {
  task_request request;
};

/// The start of an attempt was planned. The start command is sent after this
/// event is recorded.
struct attempt_started {
  std::string task_id;
  std::int32_t attempt = 0;
  std::string worker_id;
  /// Resources granted to the attempt; unset means the declared demand.
  std::optional<coordination::resources> granted;
};

/// The worker reported that the attempt is running.
struct attempt_confirmed {
  std::string task_id;
  std::int32_t attempt = 0;
};

/// An attempt is to run with fewer processors, or with all granted ones again.
struct attempt_throttled {
  std::string task_id;
  std::int32_t attempt = 0;
  bool throttled = true;
};

/// An attempt is to save a checkpoint and stop.
struct checkpoint_ordered {
  std::string task_id;
  std::int32_t attempt = 0;
  /// Time for saving the checkpoint; after it the attempt is stopped even
  /// without one.
  std::chrono::milliseconds grace{0};
};

struct attempt_ended {
  std::string task_id;
  std::int32_t attempt = 0;
  attempt_outcome outcome = attempt_outcome::kDone;
  /// Run time that the newest checkpoint holds; 0 when there is none.
  std::chrono::milliseconds saved_run_time{0};
};

/// A task is not scheduled until it is released.
struct task_parked {
  std::string task_id;
  std::string reason;
};

/// An operator allowed a parked task to be scheduled again.
struct task_released {
  std::string task_id;
};

/// The client account cancelled the task.
struct task_cancelled {
  std::string task_id;
};

/// An event in the journal of a shard.
using event = std::variant<task_accepted,
                           attempt_started,
                           attempt_confirmed,
                           attempt_throttled,
                           checkpoint_ordered,
                           attempt_ended,
                           task_parked,
                           task_released,
                           task_cancelled>;

/// A worker that accepts tasks of this shard.
struct worker_view {
  std::string id;
  coordination::resources capacity;
  std::string rack;
  std::string failure_domain;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_TYPES_H_
