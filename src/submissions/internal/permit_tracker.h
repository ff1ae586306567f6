#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PERMIT_TRACKER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PERMIT_TRACKER_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/submissions/commands.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Tracks the permits of steps whose queues require them.
class permit_tracker {
 public:
  /// Returns the permit with which a task may start on the worker now, or null.
  const std::string* Find(const task_ref& task,
                          const worker_entry& worker,
                          base::time_point now) const;

  /// Whether a permit for the worker should be requested: there is no valid
  /// one, the service did not reject the worker, and no request is pending.
  bool CanRequest(const task_ref& task,
                  const worker_entry& worker,
                  base::time_point now) const;
  /// Records that a request is being sent. The step sends no other request
  /// until it is answered.
  void OnRequested(const permit_request& request,
                   const worker_table& workers,
                   base::time_point now);
  bool IsRequestPending(const task_ref& task, base::time_point now) const;

  void OnGranted(const permit_request& request,
                 const std::vector<start_permit>& granted);
  /// Records that a request was not answered; it may be repeated after a delay.
  void OnRequestFailed(const permit_request& request, base::time_point now);
  /// Discards a permit that the worker rejected.
  void Forget(const task_ref& task, const std::string& worker);
  /// Discards all permits of a submission that has ended.
  void Erase(const std::string& submission);

 private:
  enum class permit_state { kRequested, kGranted, kRejected };
  struct permit_entry {
    permit_state state = permit_state::kRequested;
    std::string permit;
    /// Incarnation of the worker that the permit is for, and its expiry.
    std::int64_t started_at_ms = 0;
    base::time_point valid_until;
  };
  struct step_permits {
    absl::flat_hash_map<std::string, permit_entry> workers;
    /// Earliest time of the next request; an answer resets it.
    base::time_point next_request_at;
  };

  const permit_entry* FindKnown(const task_ref& task,
                                const std::string& worker) const;

  absl::flat_hash_map<task_ref, step_permits> steps_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PERMIT_TRACKER_H_
