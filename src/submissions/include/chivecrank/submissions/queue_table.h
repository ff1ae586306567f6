#ifndef CHIVECRANK_SUBMISSIONS_QUEUE_TABLE_H_
#define CHIVECRANK_SUBMISSIONS_QUEUE_TABLE_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// A queue and the host and path prefix of the requests that are sent to it.
struct queue_route {
  std::string name;
  std::string host;
  /// The longest matching prefix wins.
  std::string path_prefix;
  queue_policy policy;
};

/// The queues of one configuration version.
struct queue_table {
  std::int64_t version = 0;
  std::vector<queue_route> routes;
  /// Names of the services that the configuration declares.
  std::set<std::string> services;

  /// Returns the queue of a request, or null if no queue matches.
  const queue_route* Match(std::string_view host, std::string_view path) const;
  /// Returns null if there is no queue of that name.
  const queue_route* Find(std::string_view name) const;
  /// Whether the configuration names the service, with a queue or without.
  bool NamesService(const std::string& service) const;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_QUEUE_TABLE_H_
