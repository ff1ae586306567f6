#ifndef CHIVECRANK_RUNTIME_SHARD_RELEASE_H_
#define CHIVECRANK_RUNTIME_SHARD_RELEASE_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "chivecrank/metadata/store.h"
#include "chivecrank/runtime/shard_tenure.h"

namespace chivecrank::runtime {

/// A shard for which its owner does nothing any more.
struct released_shard {
  std::uint32_t shard = 0;
  metadata::revision fence = 0;
  /// The newest tenure of the shard that the owner has seen.
  std::optional<known_tenure> tenure;
};

/// Deletes the owner key and records in the owner's tenure, if it has one, that
/// it acts no more. The transaction is conditional on the tenure that the owner
/// has seen; when the store holds another one, it is made anew from that.
/// Calls `done` once on the caller's event loop, with whether the store has
/// carried it out and answered. `store` must outlive the call.
void ReleaseShard(metadata::store& store,
                  released_shard released,
                  std::function<void(bool released)> done);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_RELEASE_H_
