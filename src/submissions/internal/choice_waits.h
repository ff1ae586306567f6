#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_CHOICE_WAITS_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_CHOICE_WAITS_H_

#include <absl/container/btree_map.h>

#include <chrono>
#include <optional>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions::internal {

/// Since when tasks have found no worker among those that they may choose from.
/// A task that never failed waits for all of its step that never did.
class choice_waits {
 public:
  /// `limit`: how long a task keeps to its choice of workers.
  explicit choice_waits(std::chrono::milliseconds limit) : limit_(limit) {}

  /// Forgets tasks that have not been looked at for a while: they are placed or
  /// gone.
  void BeginRound(base::time_point now);
  /// No worker takes the task. Returns whether this is the first call after the
  /// limit was reached.
  bool OnNoWorker(const task_ref& task,
                  bool failed_before,
                  base::time_point now);
  /// A worker of its choice takes the task.
  void OnPlaced(const task_ref& task, bool failed_before);
  /// Whether the task has waited for as long as the limit.
  bool HasWaited(const task_ref& task,
                 bool failed_before,
                 base::time_point now) const;

 private:
  struct wait {
    base::time_point since;
    base::time_point seen_at;
    bool told = false;
  };

  static task_ref KeyOf(task_ref task, bool failed_before);

  const std::chrono::milliseconds limit_;
  absl::btree_map<task_ref, wait> waits_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_CHOICE_WAITS_H_
