#include "chivecrank/runtime/shard_room.h"

#include <algorithm>
#include <numeric>

namespace chivecrank::runtime {
namespace {

constexpr std::int64_t kMilliPerCore = 1000;
/// A full shard is treated as having 1/50 of its capacity free for best-effort
/// tasks, because they reserve no processors.
constexpr std::int64_t kMinFreeCapacityDivisor = 50;
/// Room that the target of a move must have, as a multiple of what the
/// submission reserves.
constexpr std::int64_t kMoveRoomFactor = 2;

/// Room by shard; a shard without a known room has the mean of the others.
std::vector<std::int64_t> UsableByShard(
    const std::map<std::uint32_t, shard_room>& rooms,
    std::uint32_t shard_count,
    std::int64_t task_milli) {
  std::vector<std::int64_t> usable(shard_count, -1);
  std::int64_t known = 0;
  std::int64_t total = 0;
  for (const auto& [shard, room] : rooms) {
    if (shard >= shard_count || room.capacity_milli == 0)
      continue;
    usable[shard] = UsableMilli(room, task_milli);
    if (task_milli == 0)
      usable[shard] = std::max(usable[shard],
                               room.capacity_milli / kMinFreeCapacityDivisor);
    total += usable[shard];
    ++known;
  }
  std::ranges::replace(usable, -1, known == 0 ? 0 : total / known);
  return usable;
}

}  // namespace

std::int64_t UsableMilli(const shard_room& room, std::int64_t task_milli) {
  std::int64_t usable = room.free_milli;
  if (task_milli > 0) {
    usable = 0;
    std::int64_t free_cores = 0;
    for (const std::int32_t workers : room.workers_by_free_cores)
      usable +=
          workers * (free_cores++ * kMilliPerCore / task_milli) * task_milli;
  }
  return std::max<std::int64_t>(0, usable - room.assigned_milli);
}

std::uint32_t ChooseShard(const std::map<std::uint32_t, shard_room>& rooms,
                          std::uint32_t shard_count,
                          const submissions::submission& offered,
                          std::uint64_t hash) {
  std::vector<std::int64_t> usable = UsableByShard(
      rooms, shard_count, submissions::LargestReservedMilli(offered));
  std::int64_t total =
      std::accumulate(usable.begin(), usable.end(), std::int64_t{0});
  if (total == 0) {
    usable = UsableByShard(rooms, shard_count, 0);
    total = std::accumulate(usable.begin(), usable.end(), std::int64_t{0});
  }
  if (total == 0)
    return static_cast<std::uint32_t>(hash % shard_count);
  auto point =
      static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(total));
  std::uint32_t chosen = 0;
  while (point >= usable[chosen])
    point -= usable[chosen++];
  return chosen;
}

std::optional<std::uint32_t> ShardToMoveTo(
    const std::map<std::uint32_t, shard_room>& rooms,
    std::uint32_t from,
    const submissions::submission& waiting) {
  const std::int64_t task_milli = submissions::LargestReservedMilli(waiting);
  std::optional<std::uint32_t> best;
  std::int64_t most = kMoveRoomFactor * submissions::ReservedMilli(waiting);
  for (const auto& [shard, room] : rooms) {
    const std::int64_t usable = UsableMilli(room, task_milli);
    if (shard == from || usable < most)
      continue;
    best = shard;
    most = usable;
  }
  return best;
}

}  // namespace chivecrank::runtime
