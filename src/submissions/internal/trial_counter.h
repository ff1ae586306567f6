#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_

#include <absl/container/flat_hash_map.h>

#include <utility>

#include "internal/interference_model.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Limits on how many workers at once a pair of images is tried out, while its
/// interference is uncertain.
class trial_counter {
 public:
  explicit trial_counter(const interference_model& interference)
      : interference_(interference) {}

  /// Counts the workers on which each pair runs together.
  void Recount(worker_table& workers);
  /// Must be called before a best-effort image is placed on a worker.
  void Add(const occupancy& worker, image_number best_effort_image);
  /// Whether the worker may be used for one more trial of the image.
  bool Allows(const occupancy& worker, image_number best_effort_image) const;

 private:
  using pair = std::pair<image_number, image_number>;

  const interference_model& interference_;
  absl::flat_hash_map<pair, std::int32_t> worker_counts_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_
