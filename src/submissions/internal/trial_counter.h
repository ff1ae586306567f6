#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_

#include <map>
#include <string>
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
  void Recount(const worker_table& workers);
  /// A filling image is about to be put on a worker.
  void Add(const worker_entry& worker, const std::string& filling_image);
  /// Whether the worker may be used for one more trial of the image.
  bool Allows(const worker_entry& worker,
              const std::string& filling_image,
              base::time_point now) const;

 private:
  using pair = std::pair<std::string, std::string>;

  const interference& learned_;
  std::map<pair, std::int32_t> workers_of_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_TRIAL_COUNTER_H_
