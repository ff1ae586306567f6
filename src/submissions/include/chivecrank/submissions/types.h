#ifndef CHIVECRANK_SUBMISSIONS_TYPES_H_
#define CHIVECRANK_SUBMISSIONS_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/settings/types.h"

/// Scheduling of submissions, which consist of steps and tasks: requests,
/// progress and decisions. The module does no I/O; it turns state, events and
/// the time into typed commands.
namespace chivecrank::submissions {

/// Processing times of the service that grants permits, and the validity of a
/// permit.
struct permit_timing {
  std::chrono::milliseconds per_request{0};
  std::chrono::milliseconds per_worker{0};
  std::chrono::milliseconds validity{0};

  bool operator==(const permit_timing&) const = default;
};

/// How the submissions of a queue are scheduled.
struct queue_policy {
  /// Service whose workers run the tasks.
  std::string service;
  /// 0 is the highest priority.
  std::int32_t priority = 0;
  /// Failed attempts of one task after which the submission fails.
  std::int32_t attempt_limit = 1;
  /// A submission should end within (`stretch` * critical path) +
  /// `target_run_time`. The critical path is the longest chain of estimates.
  double stretch = 1;
  std::chrono::milliseconds target_run_time{0};
  /// Set if a task may only start with a permit for its step and worker.
  std::optional<permit_timing> permits;

  bool operator==(const queue_policy&) const = default;
};

/// One step of a submission: a number of identical tasks.
struct step_request {
  std::int32_t task_count = 1;
  /// Resources that each task asks for.
  coordination::resources demand;
  /// Rough estimate of a task's run time.
  std::chrono::milliseconds estimate{0};
  /// Indexes of earlier steps that must be done first.
  std::vector<std::int32_t> after;
  bool checkpoints = false;
  /// The tasks only make progress together.
  bool gang = false;
  /// The tasks of a gang should run in one rack.
  bool same_rack = false;
  /// Several copies of a task may run in parallel.
  bool speculative = false;
  /// The tasks run until the submission is cancelled.
  bool long_running = false;
  /// The tasks use idle processors; no processors are reserved for them.
  bool best_effort = false;
  /// Label that the worker must have; empty for none.
  std::string required_label;
  /// Rack that holds the data; empty for none.
  std::string data_rack;
  /// Limit of the step's tasks per worker; 0 for none.
  std::int32_t max_per_worker = 0;
  /// Limit of the tasks of a long-running step that the scheduler may make
  /// unavailable at the same time.
  std::int32_t max_unavailable = 0;
  /// Image that the tasks run. Tasks of the same image are assumed to behave
  /// alike.
  std::string image;
  /// Upper limit of a long-running task's tail latency; 0 for none.
  std::chrono::milliseconds latency_target{0};

  bool operator==(const step_request&) const = default;
};

/// Repetition of a submission's steps; each occurrence has its own due time.
struct recurrence {
  /// Number of occurrences; 0 for a submission that runs once, immediately.
  std::int32_t count = 0;
  std::chrono::milliseconds first_due_since_epoch{0};
  std::chrono::milliseconds interval{0};

  bool operator==(const recurrence&) const = default;
};

/// A submission of a client account, as it was accepted.
struct submission {
  std::string id;
  std::string queue;
  /// Policy of the queue at the time of acceptance.
  queue_policy policy;
  std::uint32_t shard = 0;
  std::chrono::milliseconds accepted_since_epoch{0};
  /// Passed to the tasks unchanged.
  std::string spec;
  std::vector<step_request> steps;
  recurrence repeats;

  bool operator==(const submission&) const = default;
};

/// Processors, in millicores, that the steps without prerequisites reserve.
std::int64_t ReservedMilli(const submission& request);
/// The most that one task of these steps reserves, in millicores.
std::int64_t LargestReservedMilli(const submission& request);

/// Identifies a task. Occurrences, steps and the tasks of a step are numbered
/// from 0.
struct task_ref {
  std::string submission;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t index = 0;

  bool operator==(const task_ref&) const = default;
  bool operator<(const task_ref& other) const {
    return std::tie(submission, occurrence, step, index) <
           std::tie(other.submission, other.occurrence, other.step,
                    other.index);
  }

  template <class Hash>
  friend Hash AbslHashValue(Hash state, const task_ref& ref) {
    return Hash::combine(std::move(state), ref.submission, ref.occurrence,
                         ref.step, ref.index);
  }
};

/// Returns the first task of the task's step, which identifies the step.
task_ref FirstOfStep(const task_ref& task);

enum class submission_outcome { kCompleted, kFailed, kCancelled };

std::string_view SubmissionOutcomeName(submission_outcome value);

enum class run_outcome {
  kDone,
  /// Caused by the task or by the worker.
  kFailed,
  kStopped,
  /// The worker's lease expired.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

std::string_view RunOutcomeName(run_outcome value);

/// A worker as listed by discovery.
struct worker_description {
  std::string id;
  std::string service;
  settings::endpoint address;
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  coordination::resources capacity;
  /// The worker is shutting down and gets no new tasks.
  bool draining = false;
  /// How much longer a draining worker stays at least, as it wrote itself;
  /// unset if it didn't say.
  std::optional<std::chrono::milliseconds> stays_at_least;
  /// Until when a draining worker stays at least, as far as this instance
  /// knows; unset if unknown.
  std::optional<base::time_point> stays_until;
  /// Start time of the worker's current incarnation, in milliseconds since
  /// 1970. A worker that restarts under the same identifier has lost its state.
  std::int64_t started_at_ms = 0;

  bool operator==(const worker_description&) const = default;
};

/// A run that a worker reports as running.
struct reported_run {
  task_ref task;
  std::int32_t run = 0;
  std::string checkpoint;
  /// Progress in percent; 100 for a long-running task that is serving.
  std::int32_t percent = 0;
  /// For a task with a latency target, its tail latency in milliseconds; for
  /// any other task, the processors that it uses, in millicores.
  std::int64_t measurement = 0;
};

/// A run that a worker reports as ended. Numbers increase within an incarnation
/// of the worker.
struct reported_end {
  std::int64_t number = 0;
  task_ref task;
  std::int32_t run = 0;
  run_outcome outcome = run_outcome::kDone;
  std::string checkpoint;
};

struct worker_report {
  /// Start time of the worker's incarnation, in milliseconds since 1970.
  std::int64_t started_at_ms = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;
  /// More ends are pending than `ended` holds.
  bool ends_truncated = false;
};

enum class start_outcome {
  kStarted,
  /// The worker follows a newer owner.
  kFenced,
  /// That run or a later one of the task has ended or was stopped there.
  kSuperseded,
  /// The worker's lease had expired.
  kLeaseExpired,
  kNoCapacity,
  /// The permit is missing, has expired, or is for another incarnation of the
  /// worker.
  kNoPermit,
  /// The worker can't carry out the command.
  kRejected,
  /// The worker did nothing because it is unhealthy.
  kUnhealthy,
  /// Another incarnation of the worker answered.
  kOtherIncarnation,
  /// The command was certainly not sent.
  kNotSent,
  /// The command may have been carried out or may still be carried out.
  kUnknown,
};

std::string_view StartOutcomeName(start_outcome value);

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_TYPES_H_
