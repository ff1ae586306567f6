#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_TABLE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_TABLE_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/types.h"
#include "internal/image_index.h"
#include "internal/occupancy.h"
#include "internal/service_load.h"

namespace chivecrank::submissions::internal {

/// Where a run stands between its decision and its end.
enum class run_phase {
  /// The decision is not committed yet; nothing was sent.
  kDeciding,
  /// The order to start was sent and not answered.
  kStarting,
  /// The order may or may not be carried out: its answer was lost.
  kUncertain,
  kRunning,
  /// An order to stop it was decided.
  kStopping,
};

/// A run that takes capacity of a worker.
struct active_run {
  /// An order to change the speed was not confirmed.
  static constexpr std::int32_t kThrottleUnknown = -1;
  /// Share of its speed, in percent, of a run that is not slowed.
  static constexpr std::int32_t kFullSpeed = 100;

  std::int32_t run = 0;
  run_phase phase = run_phase::kDeciding;
  /// What the run reserves; no processors when it only fills.
  coordination::resources reserved;
  /// Processors that it can use, in thousandths.
  std::int64_t processors_milli = 0;
  bool fills = false;
  bool lasting = false;
  std::chrono::milliseconds latency_target{0};
  /// When the phase began.
  base::time_point since;
  /// This owner started it without a checkpoint and never slowed it, so that
  /// its run time tells about its step.
  bool is_typical = false;
  /// The order to start came from this owner, not from one before it.
  bool own = false;
  /// The worker confirmed an order to stop the run, so that it can't start
  /// there any more.
  bool barred = false;
  /// When an order to stop was last sent; unset for never.
  base::time_point stop_sent;
  std::string checkpoint;
  std::int32_t percent = 0;
  /// When a report first told of that progress.
  base::time_point progressed_at;
  /// It makes no progress though it may run at full speed.
  bool stalled = false;
  std::int64_t reading = 0;
  image_number image = 0;
  /// Shared with the other runs of its step; null when it is no service.
  std::shared_ptr<service_load> load;
  /// Share of its speed that the worker was told to run it at, and that is
  /// wanted now.
  std::int32_t throttle_percent = kFullSpeed;
  std::int32_t wanted_percent = kFullSpeed;
};

/// How far the latency of the worker's services is from its bound.
struct latency_state {
  base::time_point changed_at;
  /// Since when every service is well within its bound.
  base::time_point calm_since;
  /// Since when some service is over its bound; unset while none is.
  std::optional<base::time_point> over_since;
  /// The newest largest ratio of a tail latency to its bound.
  double worst_ratio = 0;
};

/// What the ends of runs tell about a worker.
struct health_state {
  /// Failed ends since the last done one, each of another submission.
  std::int32_t failures_in_a_row = 0;
  std::string last_failed_submission;
  /// Until then the worker takes nothing if others can.
  base::time_point avoid_until;
};

/// An end that was seen and must be committed before it is acknowledged.
struct pending_ack {
  std::int64_t number = 0;
  std::uint64_t batch = 0;
};

struct worker_entry {
  worker_description description;
  /// Discovery lists the worker.
  bool listed = false;
  /// It has answered to this owner.
  bool reported = false;
  base::time_point reported_at;
  /// The life that the last report came from.
  std::int64_t reported_born_ms = 0;
  absl::flat_hash_map<task_ref, active_run> runs;
  coordination::resources reserved;
  /// No run of the worker can be alive after this unless the lease is renewed.
  base::time_point lease_over;
  /// The newest end that was processed, and the newest that may be
  /// acknowledged.
  std::int64_t seen_end = 0;
  std::int64_t committed_end = 0;
  std::deque<pending_ack> pending_acks;
  latency_state latency;
  health_state health;
  /// It has less room than the runs tell, until a report says otherwise: it
  /// runs what nobody here knows, or turned a start down.
  bool lacks_room = false;
  /// In this round it takes nothing but services: one waits for room on it.
  bool held_for_service = false;
  /// What the runs add up to; unset after one of them changed.
  std::optional<occupancy> occupied;
};

/// The workers of a shard and what runs on them.
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

  /// Share of the worker's processors that `processors_milli` are.
  static double ShareOfProcessors(const worker_entry& worker,
                                  std::int64_t processors_milli);

  /// Processors, in thousandths, that a run uses at the speed it was told to
  /// run at.
  static std::int64_t UsedMilli(const active_run& run);

 private:
  map workers_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_TABLE_H_
