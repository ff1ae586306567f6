#ifndef CHIVECRANK_RUNTIME_KEYS_H_
#define CHIVECRANK_RUNTIME_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chivecrank/metadata/types.h"

/// Keys of the state that instances share through the store.
namespace chivecrank::runtime {

/// Prefix of the keys that every instance replicates.
inline constexpr std::string_view kSharedPrefix = "chivecrank/";

/// The kinds of shared keys.
enum class key_kind {
  /// The number of shards.
  kShardCount,
  /// A live instance; the key is attached to the instance's lease.
  kMember,
  /// The owner of a shard; the key is attached to the owner's lease.
  kOwner,
  /// The load of a shard.
  kShardStatus,
  /// An accepted submission.
  kSubmission,
  /// An accepted cancellation.
  kCancellation,
  /// The outcome of a submission.
  kOutcome,
  /// The tenure of a shard's last owner; see shard_tenure.
  kTenure,
};

/// A parsed shared key. `name` is a node, a shard or a submission.
struct shared_key {
  key_kind kind = key_kind::kSubmission;
  std::string name;
};

std::string ToString(const shared_key& key);

/// Returns nullopt for a key of another form.
std::optional<shared_key> ParseSharedKey(std::string_view key);

/// The key that keeps any submission with identifier `id` from being stored.
/// It isn't replicated; whoever stores a submission makes it a condition.
std::string RevocationKey(std::string_view id);

std::string ShardName(std::uint32_t shard);
std::string OwnerKey(std::uint32_t shard);
std::string StatusKey(std::uint32_t shard);
std::string TenureKey(std::uint32_t shard);

/// A condition that holds as long as the shard's owner key was last written at
/// revision `fence`.
metadata::condition OwnershipCondition(std::uint32_t shard,
                                       metadata::revision fence);

std::optional<std::uint32_t> ParseShardName(std::string_view name);

/// Keys of a shard's journal. They sort in the order of their entry numbers.
/// Only the shard's owner reads them.
std::string JournalPrefix(std::uint32_t shard);
std::string JournalKey(std::uint32_t shard, std::uint64_t entry);
std::optional<std::uint64_t> ParseJournalKey(std::uint32_t shard,
                                             std::string_view key);

/// The shard that a worker belongs to; every instance computes the same.
std::uint32_t ShardOfWorker(std::string_view worker_id,
                            std::uint32_t shard_count);

/// A hash of two names that is the same on every instance.
std::uint64_t HashNames(std::string_view left, std::string_view right);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_KEYS_H_
