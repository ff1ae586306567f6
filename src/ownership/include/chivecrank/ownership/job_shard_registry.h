#ifndef CHIVECRANK_OWNERSHIP_JOB_SHARD_REGISTRY_H_
#define CHIVECRANK_OWNERSHIP_JOB_SHARD_REGISTRY_H_

#include <mutex>
#include <string>
#include <unordered_map>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"

namespace chivecrank::ownership {

/// Records which shard a job was first sent to, so that a repeated submission
/// is sent to the same shard even if racks were added or removed in between.
/// Thread-safe.
class job_shard_registry {
 public:
  explicit job_shard_registry(coordination::store& store);

  /// Returns the shard recorded for a job. If there is none, records and
  /// returns `proposed`. kUnavailable: the store could not be reached; the job
  /// was not submitted.
  base::result<std::string> FindOrAssignShard(const std::string& identifier,
                                              const std::string& proposed);

  /// Returns the shard recorded for a job, or an empty string if there is none.
  base::result<std::string> FindShard(const std::string& identifier);

 private:
  std::string FindCached(const std::string& identifier);
  void Cache(const std::string& identifier, const std::string& shard);

  coordination::store& store_;
  std::mutex mutex_;
  std::unordered_map<std::string, std::string> cache_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_JOB_SHARD_REGISTRY_H_
