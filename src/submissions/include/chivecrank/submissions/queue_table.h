#ifndef CHIVECRANK_SUBMISSIONS_QUEUE_TABLE_H_
#define CHIVECRANK_SUBMISSIONS_QUEUE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// A queue and the requests that reach it.
struct queue_route {
  std::string name;
  std::string host;
  /// The longest prefix that a path begins with wins.
  std::string path_prefix;
  queue_policy policy;
};

/// The queues of one configuration version.
struct queue_table {
  std::int64_t version = 0;
  std::vector<queue_route> routes;

  /// The queue that a request belongs to; null when there is none.
  const queue_route* Match(std::string_view host, std::string_view path) const;
  /// Null when there is no queue of that name.
  const queue_route* Find(std::string_view name) const;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_QUEUE_TABLE_H_
