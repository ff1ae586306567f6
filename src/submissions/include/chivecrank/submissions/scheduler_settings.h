#ifndef CHIVECRANK_SUBMISSIONS_SCHEDULER_SETTINGS_H_
#define CHIVECRANK_SUBMISSIONS_SCHEDULER_SETTINGS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace chivecrank::submissions {

/// Longest lease term that is granted to a worker. Together with the lease
/// margin it ensures that a task of a lost worker runs again within nine
/// seconds.
inline constexpr std::chrono::milliseconds kMaxWorkerLease{7800};

/// Lease term for workers that accept at most `max_term`.
constexpr std::chrono::milliseconds WorkerLeaseFor(
    std::chrono::milliseconds max_term) {
  return std::min(max_term, kMaxWorkerLease);
}

/// Limits and weights of a shard's decisions.
struct scheduler_settings {
  /// Term of a worker's lease. No run on the worker outlives the lease.
  std::chrono::milliseconds worker_lease{6000};
  /// Added to a lease before it counts as expired: covers clocks that run up to
  /// 4% apart over the longest lease, and messages in flight.
  std::chrono::milliseconds lease_margin{900};
  /// How long a run can live after the newest lease of its worker was sent.
  std::chrono::milliseconds LongestLease() const {
    return worker_lease + lease_margin;
  }
  /// How long a worker with runs must leave polls unanswered before the journal
  /// says how long these can still live, and the time between two such records.
  std::chrono::milliseconds silence_before_record{500};
  std::chrono::milliseconds bound_record_interval{500};
  /// A run that was seen alive for this long is no cause of a later crash of
  /// its worker.
  std::chrono::milliseconds start_survival_time{250};
  /// Workers that fall silent within this time of each other have a common
  /// cause, unless tasks that had just started explain each of them.
  std::chrono::milliseconds common_crash_window{500};
  /// Within this time of a worker's crash that no task explains, other crashes
  /// may be of the same kind.
  std::chrono::milliseconds crash_series_window{3000};
  /// A worker whose last report is older than this gets no new tasks.
  std::chrono::milliseconds max_report_age{2200};
  /// How long a long-running submission waits for capacity for all of its tasks
  /// before it starts with some of them.
  std::chrono::milliseconds full_capacity_timeout{1600};
  /// How long a worker is avoided after it rejected a start.
  std::chrono::milliseconds rejection_backoff{400};
  /// Time between two commands to stop the same run.
  std::chrono::milliseconds stop_interval{500};
  /// Share of its reserved processors that a service is assumed to use.
  double assumed_service_utilization = 0.5;
  /// A best-effort task is placed only on a worker whose idle processors are at
  /// least this share of the processors that the task demands.
  double min_idle_share = 0.7;
  /// Limit of the expected number of services that a best-effort task brings
  /// over their latency targets: the sum of the added probabilities.
  double max_added_risk = 0.15;
  /// Consecutive failures, each of a different submission, after which a worker
  /// is avoided.
  std::int32_t failures_before_avoidance = 2;
  std::chrono::milliseconds avoidance_period{4000};
  /// Time until a worker on probation gets a run that tests it; doubles with
  /// each test that fails, up to the longest.
  std::chrono::milliseconds first_test_pause{500};
  std::chrono::milliseconds longest_test_pause{8000};
  /// How long a task that starts only on workers with good records waits for
  /// one before it takes another.
  std::chrono::milliseconds longest_choice{2000};
  /// A long-running task that has run for this long has not failed its worker's
  /// test.
  std::chrono::milliseconds service_test_time{1000};
  /// A run is moved if it made no progress for this long and for this share of
  /// its expected run time.
  std::chrono::milliseconds stalled_after{1200};
  double stalled_share = 0.05;
  /// Minimum time between two changes to the speeds of a worker's best-effort
  /// tasks. It is longer than the measurement delay of half a second, so that
  /// the effect of one change is measured before the next.
  std::chrono::milliseconds throttle_interval{600};
  /// Ratios of tail latency to latency target: best-effort tasks are throttled
  /// above the first and sped up again below the second.
  double throttle_above = 0.95;
  double restore_below = 0.75;
  /// How long services on a worker must have been over their latency targets
  /// before all best-effort tasks on it are throttled, whatever their estimated
  /// interference.
  std::chrono::milliseconds throttle_all_after{1100};
  /// How long they must have been over their targets before all best-effort
  /// tasks on the worker are halted.
  std::chrono::milliseconds halt_all_after{2000};
  /// How long all services must stay below `restore_below` before best-effort
  /// tasks are sped up again.
  std::chrono::milliseconds calm_before_restore{1200};
  /// Time after which no task may start in a failure domain that was drained;
  /// 0 for no limit. What is known of drains has to be more recent than that
  /// for tasks to start.
  std::chrono::milliseconds drain_within{0};
  /// Long-running tasks leave a drained domain at this rate while the other
  /// domains keep this share of their processors unreserved, for urgent work.
  double drain_moves_per_second = 20;
  double drain_free_share = 0.25;
  /// Number of journal entries after which a snapshot is written.
  std::uint64_t entries_per_snapshot = 256;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_SCHEDULER_SETTINGS_H_
