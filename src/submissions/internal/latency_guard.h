#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_

#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Slows the filling tasks of a worker while a service beside them is near or
/// over its latency bound, and gives the speed back when it is calm.
class latency_guard {
 public:
  explicit latency_guard(const scheduler_settings& settings)
      : settings_(settings) {}

  /// Takes in the newest readings of the worker's runs.
  void Update(worker_entry& worker, base::time_point now) const;

  /// Whether further filling tasks would do harm.
  static bool IsPressed(const worker_entry& worker);

 private:
  void Slow(latency_state& state, base::time_point now) const;
  void Restore(latency_state& state, base::time_point now) const;

  const scheduler_settings& settings_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_LATENCY_GUARD_H_
