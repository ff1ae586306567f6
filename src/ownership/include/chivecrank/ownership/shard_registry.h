#ifndef CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_
#define CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_

#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/ownership/types.h"

namespace chivecrank::ownership {

/// Reads and claims the owner records in the store.
/// Not safe to use from several threads.
class shard_registry {
 public:
  explicit shard_registry(coordination::store& store);

  /// All owner records, also those whose holder is gone.
  base::result<owner_changes> ListOwners();

  /// The records written after a revision.
  base::result<owner_changes> ChangesAfter(coordination::revision known);

  /// Instances whose ownership lease holds.
  base::result<std::set<std::string>> ListLeaseHolders();

  /// Claims a shard whose holder is gone, or is the claimant, which then must
  /// have dropped what it led under the old epoch; returns the new epoch.
  /// kConflict: it is held, or another instance was quicker.
  base::result<std::uint64_t> Claim(const owner& claimant);

  /// Gives a shard up, so that others may claim it at once. kConflict: the
  /// record has another epoch.
  base::result<void> Release(const std::string& shard, std::uint64_t epoch);

 private:
  base::result<bool> IsHeld(const owner& record);

  coordination::store& store_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_
