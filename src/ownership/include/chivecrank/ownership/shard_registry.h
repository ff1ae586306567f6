#ifndef CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_
#define CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_

#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/ownership/types.h"
#include "chivecrank/platform/store.h"

namespace chivecrank::ownership {

/// Reads and claims the owner records in the store.
/// Not safe to use from several threads.
class shard_registry {
 public:
  explicit shard_registry(platform::store& store);

  /// All owner records, also those whose holder is gone.
  base::result<std::vector<owner>> Owners();

  /// Claims a shard whose holder is gone; returns the new epoch.
  /// kConflict: it is held, or another instance was quicker.
  base::result<std::uint64_t> Claim(const owner& claimant);

 private:
  base::result<bool> IsHeld(const owner& record);

  platform::store& store_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_SHARD_REGISTRY_H_
