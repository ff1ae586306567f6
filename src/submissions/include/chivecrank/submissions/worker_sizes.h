#ifndef CHIVECRANK_SUBMISSIONS_WORKER_SIZES_H_
#define CHIVECRANK_SUBMISSIONS_WORKER_SIZES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// The largest sizes of the workers of each service: those that no other size
/// covers in all dimensions. Decides which submissions no worker can run.
class worker_sizes {
 public:
  using map = std::map<std::string, std::vector<coordination::resources>>;

  /// Adds a size; has no effect if a known one covers it.
  void Add(const std::string& service, const coordination::resources& size);
  void Add(const worker_sizes& other);

  /// Whether any size of the service is known.
  bool Knows(const std::string& service) const;
  const map& All() const { return sizes_; }

  /// An error that names the first step whose tasks fit on no known size, and
  /// the largest size; success if there is none.
  base::result<void> Check(const submission& offered) const;

  bool operator==(const worker_sizes&) const = default;

 private:
  map sizes_;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_WORKER_SIZES_H_
