#ifndef CHIVECRANK_RUNTIME_SHARD_STATUS_H_
#define CHIVECRANK_RUNTIME_SHARD_STATUS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/metadata/types.h"
#include "chivecrank/runtime/shard_room.h"
#include "chivecrank/submissions/worker_sizes.h"

namespace chivecrank::runtime {

/// The load of a shard as last written by its owner, in millicores.
struct shard_status {
  /// Fence of the owner that wrote it; 0 if that ran an older program.
  metadata::revision fence = 0;
  /// The owner knew of all submissions accepted up to this revision.
  metadata::revision as_of = 0;
  std::int64_t capacity_milli = 0;
  std::int64_t reserved_milli = 0;
  /// See shard_room.
  std::vector<std::int32_t> workers_by_free_cores;
  /// Processor time of the owner that wrote it.
  std::int64_t owner_processors_milli = 0;
  /// The largest workers that owners of the shard have seen.
  submissions::worker_sizes sizes;
  /// Submissions none of whose tasks has started.
  std::set<std::string> not_started;
  /// 0 for a status that isn't stored.
  metadata::revision written_revision = 0;

  bool operator==(const shard_status&) const = default;
};

/// What the status tells of the shard's room.
shard_room RoomOf(const shard_status& status);

std::string EncodeShardStatus(const shard_status& status);
/// Decodes a stored status; nullopt if its value can't be read.
std::optional<shard_status> DecodeShardStatus(const metadata::item& stored);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_STATUS_H_
