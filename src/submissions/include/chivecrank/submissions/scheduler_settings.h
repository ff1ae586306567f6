#ifndef CHIVECRANK_SUBMISSIONS_SCHEDULER_SETTINGS_H_
#define CHIVECRANK_SUBMISSIONS_SCHEDULER_SETTINGS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace chivecrank::submissions {

/// Longest lease that is given to a worker: with its margin, a task of a worker
/// that vanished runs again within nine seconds.
inline constexpr std::chrono::milliseconds kLongestWorkerLease{7800};

/// The lease for workers that take one of `most` at the most.
constexpr std::chrono::milliseconds WorkerLeaseFor(
    std::chrono::milliseconds most) {
  return std::min(most, kLongestWorkerLease);
}

/// Bounds and weights of a shard's decisions.
struct scheduler_settings {
  /// Term of a worker's lease, which bounds all runs on it.
  std::chrono::milliseconds worker_lease{6000};
  /// Added to a lease before it counts as over: clocks that run up to 4% apart
  /// over the longest lease, and messages on their way.
  std::chrono::milliseconds lease_margin{900};
  /// A worker whose last report is older takes nothing new.
  std::chrono::milliseconds report_fresh{2200};
  /// How long a lasting submission waits for room for all of its tasks before
  /// it starts in part.
  std::chrono::milliseconds whole_room_patience{1600};
  /// How long a worker that refused an order is avoided.
  std::chrono::milliseconds refused_pause{400};
  /// Time between two orders to stop the same run.
  std::chrono::milliseconds stop_interval{500};
  /// Share of its reserved processors that a service is taken to use.
  double service_load = 0.5;
  /// Share of its processors that a filling task should find idle.
  double fill_share = 0.7;
  /// Services that a filling task may bring over their bounds, as the sum of
  /// the chances that it adds.
  double most_harm = 0.15;
  /// Failures in a row, each of another submission, after which a worker is
  /// avoided.
  std::int32_t failures_to_avoid = 2;
  std::chrono::milliseconds avoid_for{4000};
  /// A run that made no progress for this long, and for this share of the run
  /// time that is expected of it, is moved.
  std::chrono::milliseconds stalled_after{1200};
  double stalled_share = 0.05;
  /// Time between two changes of a worker's filling tasks; readings are half
  /// a second old.
  std::chrono::milliseconds throttle_interval{600};
  /// Ratio of tail latency to its bound at which filling tasks are slowed, and
  /// below which they get their speed back.
  double throttle_above = 0.95;
  double restore_below = 0.75;
  /// A service that is over its bound for this long gets all filling tasks
  /// beside it slowed, whatever is known of them, and then halted.
  std::chrono::milliseconds blame_all_after{1100};
  std::chrono::milliseconds halt_all_after{2000};
  /// How long a service must be within its bound before that.
  std::chrono::milliseconds calm_before_restore{1200};
  /// Entries of the journal after which a snapshot is written.
  std::uint64_t entries_per_snapshot = 256;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_SCHEDULER_SETTINGS_H_
