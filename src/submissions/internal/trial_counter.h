#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_

#include <absl/container/flat_hash_map.h>

#include <utility>

#include "internal/interference.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Bounds how many workers a pair of images is tried out on at once, while
/// what it does to the service is not known.
class trial_counter {
 public:
  explicit trial_counter(const interference& learned) : learned_(learned) {}

  /// Counts the workers on which each pair is together.
  void Recount(worker_table& workers);
  /// A filling image is about to be put on a worker.
  void Add(const occupancy& worker, image_number filling_image);
  /// Whether the worker may be used for one more trial of the image.
  bool Allows(const occupancy& worker, image_number filling_image) const;

 private:
  using pair = std::pair<image_number, image_number>;

  const interference& learned_;
  absl::flat_hash_map<pair, std::int32_t> workers_of_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_
