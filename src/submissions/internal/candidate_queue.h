#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_CANDIDATE_QUEUE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_CANDIDATE_QUEUE_H_

#include <vector>

#include "internal/placer.h"

namespace chivecrank::submissions::internal {

/// The workers that can take tasks of one step, best first. All are scored
/// once; after that only those that come to the top are scored again.
class candidate_queue {
 public:
  /// Step and rack of later requests must be those of `request`.
  candidate_queue(const placer& scores, const placement_request& request);

  /// The best worker for the task; null when there is none. It is out of the
  /// queue until it is returned.
  worker_entry* Take(const placement_request& request);
  /// Offers the worker again; it is scored with what runs there by then.
  void Return(worker_entry& worker);

 private:
  struct candidate {
    double score = 0;
    worker_entry* worker = nullptr;
  };

  void Push(const candidate& entry);
  candidate Pop();

  const placer& scores_;
  /// A heap with the best on top.
  std::vector<candidate> heap_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_CANDIDATE_QUEUE_H_
