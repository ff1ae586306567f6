#ifndef CHIVECRANK_RUNTIME_KEYS_H_
#define CHIVECRANK_RUNTIME_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chivecrank/metadata/types.h"

/// The keys under which instances share what they know.
namespace chivecrank::runtime {

/// Everything that each instance follows.
inline constexpr std::string_view kSharedPrefix = "chivecrank/";

/// What a shared key holds.
enum class key_kind {
  /// How many shards there are.
  kShardCount,
  /// An instance that is alive, under its lease.
  kMember,
  /// The owner of a shard, under its lease.
  kOwner,
  /// How busy a shard is.
  kShardStatus,
  /// An accepted submission.
  kSubmission,
  /// A cancellation that was accepted.
  kCancellation,
  /// How a submission ended.
  kOutcome,
};

/// A shared key, taken apart. `name` is a node, a shard or a submission.
struct shared_key {
  key_kind kind = key_kind::kSubmission;
  std::string name;
};

std::string ToString(const shared_key& key);

/// Nothing for a key that isn't one of these.
std::optional<shared_key> ParseSharedKey(std::string_view key);

std::string ShardName(std::uint32_t shard);
std::string OwnerKey(std::uint32_t shard);

/// Holds while the ownership that began at `fence` lasts.
metadata::condition OwnedSince(std::uint32_t shard, metadata::revision fence);

std::optional<std::uint32_t> ParseShardName(std::string_view name);

/// The keys of a shard's journal; entry numbers sort like their keys. Only
/// owners read them.
std::string JournalPrefix(std::uint32_t shard);
std::string JournalKey(std::uint32_t shard, std::uint64_t entry);
std::optional<std::uint64_t> ParseJournalKey(std::uint32_t shard,
                                             std::string_view key);

/// The shard that a worker belongs to, the same on every instance.
std::uint32_t ShardOfWorker(std::string_view worker_id,
                            std::uint32_t shard_count);

/// A stable hash of two names.
std::uint64_t HashOf(std::string_view left, std::string_view right);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_KEYS_H_
