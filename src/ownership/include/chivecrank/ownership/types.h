#ifndef CHIVECRANK_OWNERSHIP_TYPES_H_
#define CHIVECRANK_OWNERSHIP_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/settings/types.h"

/// Ownership of shards of workers by schedulers.
namespace chivecrank::ownership {

/// The owner record of a shard. It is valid as long as the holder's key exists.
/// It is kept afterwards, so that the epoch of a shard never decreases.
struct owner {
  std::string shard;
  std::uint64_t epoch = 0;
  std::string instance;
  /// Store key that exists as long as the owner's lease; empty after a release.
  std::string holder_key;
  settings::endpoint scheduler;
};

/// Owner records as of a store revision.
struct owner_changes {
  std::vector<owner> owners;
  coordination::revision revision = 0;
  /// Some changes are missing; all records must be read again.
  bool gap = false;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_TYPES_H_
