#ifndef CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_
#define CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_

#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/ownership/types.h"

namespace chivecrank::ownership {

/// Reads, claims and releases the owner records in the store. Not thread-safe.
class shard_registry {
 public:
  explicit shard_registry(coordination::store& store);

  /// All owner records, including those whose holder no longer exists.
  base::result<owner_changes> ListOwners();

  /// The records written after the store revision `known`.
  base::result<owner_changes> ChangesAfter(coordination::revision known);

  /// Instances with a valid ownership lease.
  base::result<std::set<std::string>> ListLeaseHolders();

  /// Claims a shard and returns its new epoch. The previous holder must be gone
  /// or be the claimant itself, which must have stopped running the shard under
  /// the old epoch. kConflict: another instance holds the shard or claimed it
  /// first.
  base::result<std::uint64_t> Claim(const owner& claimant);

  /// Releases a shard, so that other instances can claim it at once. kConflict:
  /// the record has another epoch.
  base::result<void> Release(const std::string& shard, std::uint64_t epoch);

 private:
  base::result<bool> IsHeld(const owner& record);

  coordination::store& store_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_
