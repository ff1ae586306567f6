#ifndef CHIVECRANK_OWNERSHIP_JOB_SHARD_REGISTRY_H_
#define CHIVECRANK_OWNERSHIP_JOB_SHARD_REGISTRY_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"

namespace chivecrank::ownership {

/// Remembers which shard a job was first sent to, so that a repeat meets the
/// first submission though racks have come or gone in between.
/// Safe to use from several threads.
class job_shard_registry {
 public:
  explicit job_shard_registry(coordination::store& store);

  /// The shard of a job: `proposed`, unless an earlier submission chose
  /// another. kUnavailable: it can't be told now; nothing was accepted.
  base::result<std::string> FindOrAssignShard(const std::string& identifier,
                                              const std::string& proposed);

  /// The shard that an earlier submission chose; empty if there was none.
  base::result<std::string> FindShard(const std::string& identifier);

 private:
  std::string Known(const std::string& identifier);
  void Remember(const std::string& identifier, const std::string& shard);

  coordination::store& store_;
  std::mutex mutex_;
  std::unordered_map<std::string, std::string> known_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_JOB_SHARD_REGISTRY_H_
