#ifndef CHIVECRANK_RUNTIME_WORKER_WITNESSES_H_
#define CHIVECRANK_RUNTIME_WORKER_WITNESSES_H_

#include <map>
#include <set>
#include <string>

#include "chivecrank/base/clock.h"

namespace chivecrank::runtime {

/// Which workers of a shard have answered its owner. A worker that answers
/// follows no newer owner, and no older one from then on. Any two sets of most
/// workers have workers in common, also if some were replaced meanwhile.
class worker_witnesses {
 public:
  /// Sets the workers of the shard: those that are listed, and those that are
  /// not but have runs.
  void SetWorkers(std::set<std::string> workers);
  /// A worker answered a request that was sent at `requested_at`.
  void OnAnswer(const std::string& worker, base::time_point requested_at);
  /// Whether most workers have answered requests sent since then.
  bool AreMostSince(base::time_point since) const;

 private:
  std::set<std::string> workers_;
  /// When each of them was sent the newest request that it answered.
  std::map<std::string, base::time_point> asked_at_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_WORKER_WITNESSES_H_
