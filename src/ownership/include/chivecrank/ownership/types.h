#ifndef CHIVECRANK_OWNERSHIP_TYPES_H_
#define CHIVECRANK_OWNERSHIP_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/settings/types.h"

/// Which scheduler owns which shard of workers.
namespace chivecrank::ownership {

/// The owner record of a shard. It stays after its holder is gone, so that
/// the epoch never goes back; it counts while the holder's key exists.
struct owner {
  std::string shard;
  std::uint64_t epoch = 0;
  std::string instance;
  /// Key that lives as long as the owner's lease.
  std::string holder_key;
  settings::endpoint scheduler;
};

/// Owner records as of a revision of the store.
struct owner_changes {
  std::vector<owner> owners;
  coordination::revision revision = 0;
  /// Some changes are missing; read all records again.
  bool gap = false;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_TYPES_H_
