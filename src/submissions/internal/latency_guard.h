#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_

#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/interference_model.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Throttles the best-effort tasks that interfere with a service near or over
/// its latency target, and speeds them up again when latency is low.
class latency_guard {
 public:
  latency_guard(const scheduler_settings& settings,
                const interference_model& interference)
      : settings_(settings), interference_(interference) {}

  /// Sets the target speed of the worker's best-effort tasks from the newest
  /// measurements.
  void Update(worker_entry& worker, base::time_point now) const;

  /// Whether a service is over its latency target now; no best-effort task is
  /// added then.
  static bool IsOverTarget(const worker_entry& worker);

 private:
  void Throttle(worker_entry& worker, base::time_point now) const;
  void Restore(worker_entry& worker, base::time_point now) const;
  bool Interferes(const worker_entry& worker,
                  const active_run& best_effort) const;

  const scheduler_settings& settings_;
  const interference_model& interference_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_
