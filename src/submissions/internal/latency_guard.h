#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_

#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/interference.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Slows the filling tasks that disturb a service which is near or over its
/// latency bound, and gives their speed back when it is calm.
class latency_guard {
 public:
  latency_guard(const scheduler_settings& settings, const interference& learned)
      : settings_(settings), learned_(learned) {}

  /// Decides the speed of the worker's filling tasks from the newest readings.
  void Update(worker_entry& worker, base::time_point now) const;

  /// Whether a service is over its bound now: no filling task is added.
  static bool IsPressed(const worker_entry& worker);

 private:
  void Slow(worker_entry& worker, base::time_point now) const;
  void Restore(worker_entry& worker, base::time_point now) const;
  bool Disturbs(const worker_entry& worker, const active_run& filling) const;

  const scheduler_settings& settings_;
  const interference& learned_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_
