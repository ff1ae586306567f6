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

/// Submissions of steps and tasks: what was asked for, how far it is, and the
/// decisions about it. State, event and time in, typed actions out.
namespace chivecrank::submissions {

/// How long the service that grants permits takes, and how long one is valid.
struct permit_timing {
  std::chrono::milliseconds per_request{0};
  std::chrono::milliseconds per_worker{0};
  std::chrono::milliseconds validity{0};

  bool operator==(const permit_timing&) const = default;
};

/// How a queue treats its submissions.
struct queue_policy {
  /// The service whose workers run the tasks.
  std::string service;
  /// 0 goes first.
  std::int32_t priority = 0;
  /// Attempts of one task that may fail before the submission fails.
  std::int32_t attempt_limit = 1;
  /// A submission should be done within `stretch` times its longest chain of
  /// estimates, and `target_run_time` more.
  double stretch = 1;
  std::chrono::milliseconds target_run_time{0};
  /// Set when a task starts only with a permit for its step and worker.
  std::optional<permit_timing> permits;

  bool operator==(const queue_policy&) const = default;
};

/// One step: tasks that are alike.
struct step_request {
  std::int32_t task_count = 1;
  /// What each task asks for.
  coordination::resources demand;
  /// A rough estimate of a task's run time.
  std::chrono::milliseconds estimate{0};
  /// Earlier steps that must be done first.
  std::vector<std::int32_t> after;
  bool checkpoints = false;
  /// The tasks only work together.
  bool gang = false;
  /// The tasks of a gang should share a rack.
  bool same_rack = false;
  /// Copies of a task may run in parallel.
  bool speculative = false;
  /// The tasks run until the submission is cancelled.
  bool long_running = false;
  /// The tasks use processors that others leave idle; their own demand for
  /// processors is not reserved.
  bool best_effort = false;
  /// A label that the worker must have; empty for none.
  std::string required_label;
  /// The rack that holds the data; empty for none.
  std::string data_rack;
  /// Tasks of the step that one worker may run; 0 for any number.
  std::int32_t max_per_worker = 0;
  /// Tasks of a lasting step that orders of this system may take away at the
  /// same time.
  std::int32_t max_unavailable = 0;
  /// What the tasks run; tasks of the same image behave alike.
  std::string image;
  /// Bound of the tail latency of a lasting task; 0 for none.
  std::chrono::milliseconds latency_target{0};

  bool operator==(const step_request&) const = default;
};

/// The steps run `times` times, each occurrence at its own time of day.
struct recurrence {
  /// 0: the steps run once, at once.
  std::int32_t count = 0;
  std::chrono::milliseconds first_due_since_epoch{0};
  std::chrono::milliseconds interval{0};

  bool operator==(const recurrence&) const = default;
};

/// What a client account handed in, as it was accepted.
struct submission {
  std::string id;
  std::string queue;
  /// The queue's policy when the submission was accepted.
  queue_policy policy;
  std::uint32_t shard = 0;
  std::chrono::milliseconds accepted_since_epoch{0};
  /// Passed to the tasks as it is.
  std::string spec;
  std::vector<step_request> steps;
  recurrence repeats;

  bool operator==(const submission&) const = default;
};

/// Processors, in thousandths, that the first steps of a submission reserve.
std::int64_t ReservedMilli(const submission& request);

/// Names one task.
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

/// The task's step, as its first task.
task_ref FirstOfStep(const task_ref& task);

/// How a submission ended.
enum class submission_outcome { kCompleted, kFailed, kCancelled };

std::string_view SubmissionOutcomeName(submission_outcome value);

/// How a run ended.
enum class run_outcome {
  kDone,
  /// By its own fault or the worker's.
  kFailed,
  kStopped,
  /// The worker's lease ran out.
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not come in time.
  kGangIncomplete,
};

std::string_view RunOutcomeName(run_outcome value);

/// A worker as discovery describes it.
struct worker_description {
  std::string id;
  std::string service;
  settings::endpoint address;
  std::string failure_domain;
  std::string rack;
  std::vector<std::string> labels;
  coordination::resources capacity;
  /// The worker leaves; it takes nothing new.
  bool draining = false;
  /// Start of the worker's present life, in milliseconds since 1970. A worker
  /// that starts again under its identifier knows nothing of before.
  std::int64_t started_at_ms = 0;

  bool operator==(const worker_description&) const = default;
};

/// A run that a worker lists as running.
struct reported_run {
  task_ref task;
  std::int32_t run = 0;
  std::string checkpoint;
  /// Progress; 100 for a lasting task that is at work.
  std::int32_t percent = 0;
  /// Tail latency in milliseconds for a task with a latency target, used
  /// processors in thousandths for any other.
  std::int64_t measurement = 0;
};

/// A run that a worker lists as ended. Numbers grow within a worker's life.
struct reported_end {
  std::int64_t number = 0;
  task_ref task;
  std::int32_t run = 0;
  run_outcome outcome = run_outcome::kDone;
  std::string checkpoint;
};

/// What a worker says of itself.
struct worker_report {
  std::int64_t started_at_ms = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;
  /// More ends are waiting than the list holds.
  bool ends_truncated = false;
};

/// What became of an order to start a run.
enum class start_outcome {
  kStarted,
  /// The worker follows a newer owner.
  kFenced,
  /// That run or a higher one has ended or was stopped there.
  kSuperseded,
  /// The worker's lease was over.
  kLeaseExpired,
  kNoCapacity,
  /// The permit is missing, too old, or of another life of the worker.
  kNoPermit,
  /// The worker can't carry out such an order.
  kRejected,
  /// The worker did nothing because it is unhealthy.
  kUnhealthy,
  /// Another life of the worker answered.
  kOtherIncarnation,
  /// The order was certainly not sent.
  kNotSent,
  /// The order may be carried out, now or later.
  kUnknown,
};

std::string_view StartOutcomeName(start_outcome value);

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_TYPES_H_
