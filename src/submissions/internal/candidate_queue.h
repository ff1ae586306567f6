#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_CANDIDATE_QUEUE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_CANDIDATE_QUEUE_H_

#include <vector>

#include "internal/placer.h"

namespace chivecrank::submissions::internal {

/// Workers that can take tasks of one step, best first. All workers are scored
/// once, whatever runs the tasks had before; after that only those that reach
/// the top are scored again.
class candidate_queue {
 public:
  /// Later requests must have the same step and rack as `request`.
  candidate_queue(const placer& scores, const placement_request& request);

  /// Returns the best worker for the task, or null if there is none. The worker
  /// leaves the queue until it is returned.
  worker_entry* Take(const placement_request& request);
  /// Puts the worker back; it is scored again with its runs at that time.
  void Return(worker_entry& worker);
  /// Whether no worker is left for any task of the step.
  bool IsEmpty() const { return heap_.empty(); }

 private:
  struct candidate {
    double score = 0;
    worker_entry* worker = nullptr;
  };

  /// Takes the best worker without a run of the task and without a failure of
  /// its last run; adds those that it passes over to `skipped`.
  worker_entry* TakeUnused(const placement_request& request,
                           std::vector<candidate>& skipped);
  void Push(const candidate& entry);
  candidate Pop();

  const placer& placer_;
  /// Max-heap by score.
  std::vector<candidate> heap_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_CANDIDATE_QUEUE_H_
