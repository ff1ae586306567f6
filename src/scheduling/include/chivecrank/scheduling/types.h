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

/// Deterministic decisions about tasks: state, event and time in, actions out.
namespace chivecrank::scheduling {

/// Where a task stands in its life.
enum class task_state {
  /// Waits for its first attempt, or for one that begins from nothing.
  kPending,
  /// An attempt was recorded; its worker has not confirmed it.
  kStarting,
  kRunning,
  /// Runs with fewer processors than it asked for.
  kThrottled,
  /// Saves its progress, then stops.
  kCheckpointing,
  /// Waits for an attempt that resumes from its checkpoint.
  kEvicted,
  /// An attempt from the checkpoint was recorded but not confirmed.
  kResuming,
  kDone,
  kFailed,
  kCancelled,
  /// Set aside with a reason until an operator releases it.
  kParked,
};

std::string_view TaskStateName(task_state value);

/// Whether a task in this state will never run again.
bool IsFinal(task_state value);

/// Whether a task in this state waits for an attempt.
bool IsWaiting(task_state value);

/// How an attempt ended.
enum class attempt_outcome {
  kDone,
  /// Failed by itself; ends the task at its attempt limit.
  kFailed,
  kLost,
  kStopped,
  /// Failed by itself; the task is tried again until it is parked.
  kCrashed,
  /// Ended by its memory limit; the task is tried again with more.
  kOutOfMemory,
};

std::string_view AttemptOutcomeName(attempt_outcome value);

/// What a task is for.
enum class task_kind {
  kBatch,
  /// A replica of a latency-critical service; runs until it is cancelled.
  kService,
};

std::string_view TaskKindName(task_kind value);

/// What a task was accepted with.
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
  /// Time of day by which the task should be done; the epoch means never.
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
  /// Where the newest attempt runs; empty once its end is confirmed.
  std::string worker_id;
  /// What the open attempt was promised.
  coordination::resources granted;
  /// Run time that the newest checkpoint holds.
  std::chrono::milliseconds saved_run_time{0};
  /// Distinct workers on which attempts failed by themselves, oldest first.
  std::vector<std::string> failed_worker_ids;
  /// Attempts that were ended to make room or to relieve a service.
  std::int32_t evictions = 0;
  /// Attempts that their memory limit ended.
  std::int32_t outgrown = 0;
  /// Why the task is parked.
  std::string parked_reason;
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
  /// What the attempt is promised; unset stands for the declared demand.
  std::optional<coordination::resources> granted;
};

/// The worker reported that the attempt runs.
struct attempt_confirmed {
  std::string task_id;
  std::int32_t attempt = 0;
};

/// An attempt is to run with fewer processors, or with all of them again.
struct attempt_throttled {
  std::string task_id;
  std::int32_t attempt = 0;
  bool throttled = true;
};

/// An attempt is to save its progress and stop.
struct checkpoint_ordered {
  std::string task_id;
  std::int32_t attempt = 0;
  /// Time for saving; after it the attempt is stopped, saved or not.
  std::chrono::milliseconds grace{0};
};

/// An attempt ended.
struct attempt_ended {
  std::string task_id;
  std::int32_t attempt = 0;
  attempt_outcome outcome = attempt_outcome::kDone;
  /// Run time that the newest checkpoint holds; 0 when there is none.
  std::chrono::milliseconds saved_run_time{0};
};

/// A task was set aside; it starts no more until it is released.
struct task_parked {
  std::string task_id;
  std::string reason;
};

/// An operator let a parked task go on.
struct task_released {
  std::string task_id;
};

/// The client account cancelled the task.
struct task_cancelled {
  std::string task_id;
};

/// What the journal of a shard records.
using event = std::variant<task_accepted,
                           attempt_started,
                           attempt_confirmed,
                           attempt_throttled,
                           checkpoint_ordered,
                           attempt_ended,
                           task_parked,
                           task_released,
                           task_cancelled>;

/// A worker that takes tasks of this shard.
struct worker_view {
  std::string id;
  coordination::resources capacity;
  std::string rack;
  std::string failure_domain;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_TYPES_H_
