#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_TABLE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_TABLE_H_

#include <absl/container/btree_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/types.h"
#include "internal/image_index.h"
#include "internal/lease_estimate.h"
#include "internal/occupancy.h"
#include "internal/service_load.h"

namespace chivecrank::submissions::internal {

/// State of a run between its assignment and its end.
enum class run_phase {
  /// The assignment is not committed yet; nothing was sent.
  kUncommitted,
  /// The start command was sent and not answered.
  kStarting,
  /// The answer to the start command was lost; the command may or may not be
  /// carried out.
  kUncertain,
  kRunning,
  /// A stop command was issued.
  kStopping,
};

/// Why a long-running task is still on a draining worker.
enum class stay_reason {
  /// This owner has not considered moving it.
  kNotConsidered,
  /// It isn't known to run, or a stop command was issued.
  kNotRunning,
  /// Too many tasks of its step are unavailable.
  kTooManyUnavailable,
  /// No other worker has capacity for it.
  kNoCapacity,
};

std::string_view StayReasonName(stay_reason value);

/// A run that occupies capacity of a worker.
struct active_run {
  /// A throttle command was not confirmed, so the speed is unknown.
  static constexpr std::int32_t kThrottleUnknown = -1;
  /// Speed of an unthrottled run, in percent.
  static constexpr std::int32_t kFullSpeed = 100;

  std::int32_t run = 0;
  run_phase phase = run_phase::kUncommitted;
  /// Reserved resources; no processors for a best-effort run.
  coordination::resources reserved;
  /// Processors that it can use, in millicores.
  std::int64_t processors_milli = 0;
  bool best_effort = false;
  bool long_running = false;
  std::chrono::milliseconds latency_target{0};
  /// When the run was assigned, or restored by this owner.
  base::time_point begun_at;
  /// When the current phase began.
  base::time_point phase_since;
  /// This owner started the run without a checkpoint and never throttled it, so
  /// its run time is representative of its step.
  bool is_run_time_sample = false;
  /// The start command came from this owner, not from an earlier one.
  bool started_by_this_owner = false;
  /// The worker confirmed a stop command, so the run can't start there any
  /// more.
  bool stop_confirmed = false;
  /// The worker confirmed or reported the start.
  bool start_confirmed = false;
  /// The worker was seen alive for a while after the start.
  bool survived_start = false;
  /// The task is suspected of crashing its workers; it was started apart.
  bool on_trial = false;
  /// An earlier owner saw the worker fall silent soon after the start.
  bool doubted = false;
  /// When a stop command was last sent; unset for never.
  base::time_point stop_sent_at;
  std::string checkpoint;
  std::int32_t percent = 0;
  /// When a report first contained the current progress.
  base::time_point progressed_at;
  /// For a run of an earlier owner, its progress in this owner's first report
  /// of it, and when that came.
  std::int32_t found_percent = 0;
  std::optional<base::time_point> found_at;
  /// Whether an earlier owner throttled it was derived from its progress.
  bool found_speed_known = false;
  /// It makes no progress although it may run at full speed.
  bool stalled = false;
  stay_reason stays = stay_reason::kNotConsidered;
  std::int64_t measurement = 0;
  image_number image = 0;
  /// Shared with the other runs of its step; null if it has no latency target.
  std::shared_ptr<service_load> load;
  /// Speed in percent that was last commanded, and the speed that the run
  /// should have.
  std::int32_t throttle_percent = kFullSpeed;
  std::int32_t target_percent = kFullSpeed;
};

/// Tail latency of the worker's services relative to their targets.
struct latency_state {
  base::time_point changed_at;
  /// Since when every service has been below `restore_below`.
  base::time_point calm_since;
  /// Since when a service has been over its latency target; unset if none is.
  std::optional<base::time_point> over_since;
  /// Largest ratio of tail latency to target in the newest report.
  double max_latency_ratio = 0;
};

/// Health of a worker, derived from the ends of its runs; see worker_health.
struct health_state {
  /// Failures since the last success that counts, each of a different
  /// submission, and the runs that ended as done meanwhile.
  std::int32_t consecutive_failures = 0;
  std::int32_t done_meanwhile = 0;
  std::string last_failed_submission;
  /// When the first of the failed runs began; unset without one.
  std::optional<base::time_point> failing_since;
  /// Share of failures among the newest ends.
  double failure_share = 0;
  bool has_ended_runs = false;
  /// The worker gets only runs that test it, one at a time.
  bool on_probation = false;
  std::optional<task_ref> test;
  base::time_point test_after;
  std::chrono::milliseconds test_pause{0};
  /// Until then the worker is used only if no other worker is suitable.
  base::time_point avoid_until;
};

/// A processed run end that must be committed before it is acknowledged.
struct pending_ack {
  std::int64_t number = 0;
  std::uint64_t batch = 0;
};

/// What the journal says of the lease that runs on a worker live under.
enum class lease_record {
  /// Nothing: any owner up to now may have renewed it.
  kRenewable,
  /// How long it can last at most; it isn't renewed meanwhile.
  kBounded,
  /// A bound that is not released until the next record is committed.
  kReleasing,
};

/// What the journal says about a worker, or will say with the next batch.
struct recorded_worker {
  /// Port 0 for none.
  settings::endpoint address;
  lease_record lease = lease_record::kRenewable;
  /// The bound, counted from `bounded_at`.
  std::chrono::milliseconds lease_left{0};
  base::time_point bounded_at;
  /// The batch that releases the bound; unset before it is taken.
  std::optional<std::uint64_t> release_batch;
  /// The next batch has to contain a record.
  bool is_due = false;
};

/// What happened around a worker's crash.
enum class crash_setting {
  /// Tasks that had just started explain why workers fell silent.
  kAlone,
  /// Many workers fell silent at the same time, or one within seconds that no
  /// task explains.
  kInSeries,
  /// One that no task explains fell silent at the same time.
  kCommonCause,
};

std::string_view CrashSettingName(crash_setting value);

/// What a worker's crash says about the runs that were lost with it.
struct crash_finding {
  crash_setting setting = crash_setting::kAlone;
  /// Runs that had just started, by commands of this owner or on trial.
  std::int32_t started_runs = 0;
  /// Runs of earlier owners; when they started is unknown.
  std::int32_t unknown_runs = 0;
};

struct worker_entry {
  worker_description description;
  recorded_worker recorded;
  /// Discovery lists the worker.
  bool listed = false;
  /// Its failure domain is drained: it gets no new tasks.
  bool domain_drained = false;
  /// The worker has answered this owner.
  bool reported = false;
  /// Since when polls go unanswered; unset after an answer and before the first
  /// poll.
  std::optional<base::time_point> silent_since;
  /// It was draining when it fell silent last.
  bool left_draining = false;
  base::time_point reported_at;
  /// Incarnation of the worker that sent the last report.
  std::int64_t reported_started_at_ms = 0;
  /// Ordered, so that decisions do not depend on addresses.
  absl::btree_map<task_ref, active_run> runs;
  coordination::resources reserved;
  /// Runs on trial that have not survived their start. Nothing else starts
  /// beside them.
  std::int32_t trials = 0;
  /// The newest crash.
  crash_finding crash;
  /// No run of the worker can be alive after its expiry.
  lease_estimate lease;
  /// Number of the newest end that was processed, and of the newest that may be
  /// acknowledged.
  std::int64_t processed_end = 0;
  std::int64_t committed_end = 0;
  std::deque<pending_ack> pending_acks;
  latency_state latency;
  health_state health;
  /// The worker has less capacity than its runs imply, until a later report
  /// says otherwise: it runs something that the scheduler doesn't know, or it
  /// rejected a start for lack of capacity.
  bool lacks_capacity = false;
  /// Reserved in this round for long-running tasks, one of which waits for
  /// capacity.
  bool reserved_for_service = false;
  /// Some runs may have stalled, or may be throttled or have a throttle command
  /// outstanding. Planning looks at the runs of such workers only.
  bool may_have_stalled = false;
  bool may_have_throttled = false;
  /// Totals of the runs; unset after one of them changed.
  std::optional<occupancy> cached_occupancy;

  /// Whether it answered this owner's last poll.
  bool Answers() const { return reported && !silent_since; }

  /// Whether the worker is there to stay, and not drained, so that new runs may
  /// go to it.
  bool IsOpen() const {
    return listed && !description.draining && !domain_drained;
  }
};

/// The workers of a shard and their runs.
class worker_table {
 public:
  using map = std::map<std::string, worker_entry>;

  worker_entry* Find(const std::string& id);
  const worker_entry* Find(const std::string& id) const;
  worker_entry& FindOrAdd(const std::string& id) { return workers_[id]; }
  map& All() { return workers_; }
  const map& All() const { return workers_; }
  void Erase(const std::string& id) { workers_.erase(id); }

  static void AddRun(worker_entry& worker,
                     const task_ref& task,
                     const active_run& run);
  static void RemoveRun(worker_entry& worker, const task_ref& task);
  static void MarkSurvived(worker_entry& worker, active_run& run);

  /// `processors_milli` as a share of the worker's processors.
  static double ShareOfProcessors(const worker_entry& worker,
                                  std::int64_t processors_milli);

  /// Millicores that a run uses at the commanded speed.
  static std::int64_t UsedMilli(const active_run& run);

 private:
  map workers_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_TABLE_H_
