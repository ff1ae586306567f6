#ifndef CHIVECRANK_RUNTIME_SHARD_ROOM_H_
#define CHIVECRANK_RUNTIME_SHARD_ROOM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "chivecrank/submissions/types.h"

/// Decides which shard takes a submission. It answers urgent steps of large
/// tasks while services reserve nearly all processors: what a shard has free in
/// pieces smaller than a task is of no use to it.
namespace chivecrank::runtime {

/// Unreserved processors of a shard's workers.
struct shard_room {
  std::int64_t capacity_milli = 0;
  std::int64_t free_milli = 0;
  /// Entry n is the number of workers with n whole cores free; the last entry
  /// also counts those with more.
  std::vector<std::int32_t> workers_by_free_cores;
  /// Assigned to the shard since its owner wrote the above.
  std::int64_t assigned_milli = 0;
};

/// Returns the free processors in which tasks that reserve `task_milli` each
/// fit, in millicores; all free processors if `task_milli` is 0. At least zero.
std::int64_t UsableMilli(const shard_room& room, std::int64_t task_milli);

/// Chooses among `shard_count` shards with a probability proportional to the
/// room that each has for the submission, so that instances that decide at the
/// same time do not all choose the same one. `hash` is the submission's. A
/// shard whose room is not known counts as the mean of the others. If no shard
/// has room for a task, all free processors count.
std::uint32_t ChooseShard(const std::map<std::uint32_t, shard_room>& rooms,
                          std::uint32_t shard_count,
                          const submissions::submission& offered,
                          std::uint64_t hash);

/// Returns the shard with the most room for the submission, other than `from`;
/// std::nullopt if none has room for twice its tasks.
std::optional<std::uint32_t> ShardToMoveTo(
    const std::map<std::uint32_t, shard_room>& rooms,
    std::uint32_t from,
    const submissions::submission& waiting);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_ROOM_H_
