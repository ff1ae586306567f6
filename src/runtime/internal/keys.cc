#include "chivecrank/runtime/keys.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <array>

#include "chivecrank/base/numbers.h"

namespace chivecrank::runtime {
namespace {

constexpr std::string_view kJournalPrefix = "chivecrank-journal/";

/// Facts of identifiers that hold whether or not a submission has them.
constexpr std::string_view kIdentifierPrefix = "chivecrank-identifiers/";

constexpr std::array<std::string_view, 8> kKindNames = {
    "shards",      "members",   "owners", "load",
    "submissions", "cancelled", "ended",  "tenures"};

}  // namespace

std::string ToString(const shared_key& key) {
  std::string text(kSharedPrefix);
  text += kKindNames.at(static_cast<std::size_t>(key.kind));
  return text + "/" + key.name;
}

std::optional<shared_key> ParseSharedKey(std::string_view key) {
  if (!key.starts_with(kSharedPrefix))
    return std::nullopt;
  key.remove_prefix(kSharedPrefix.size());
  const std::size_t slash = key.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  for (std::size_t i = 0; i < kKindNames.size(); ++i)
    if (kKindNames.at(i) == key.substr(0, slash))
      return shared_key{static_cast<key_kind>(i),
                        std::string(key.substr(slash + 1))};
  return std::nullopt;
}

std::string RevocationKey(std::string_view id) {
  std::string key(kIdentifierPrefix);
  key += id;
  return key + "/revoked";
}

std::string ShardName(std::uint32_t shard) {
  return absl::StrFormat("%04d", shard);
}

std::string OwnerKey(std::uint32_t shard) {
  return ToString({key_kind::kOwner, ShardName(shard)});
}

std::string StatusKey(std::uint32_t shard) {
  return ToString({key_kind::kShardStatus, ShardName(shard)});
}

std::string TenureKey(std::uint32_t shard) {
  return ToString({key_kind::kTenure, ShardName(shard)});
}

metadata::condition OwnershipCondition(std::uint32_t shard,
                                       metadata::revision fence) {
  return {OwnerKey(shard), fence};
}

std::optional<std::uint32_t> ParseShardName(std::string_view name) {
  return base::ParseInteger<std::uint32_t>(name);
}

std::string JournalPrefix(std::uint32_t shard) {
  return std::string(kJournalPrefix) + ShardName(shard) + "/";
}

std::string JournalKey(std::uint32_t shard, std::uint64_t entry) {
  return JournalPrefix(shard) + absl::StrFormat("%016d", entry);
}

std::optional<std::uint64_t> ParseJournalKey(std::uint32_t shard,
                                             std::string_view key) {
  const std::string prefix = JournalPrefix(shard);
  if (!key.starts_with(prefix))
    return std::nullopt;
  return base::ParseInteger<std::uint64_t>(key.substr(prefix.size()));
}

std::uint32_t ShardOfWorker(std::string_view worker_id,
                            std::uint32_t shard_count) {
  if (shard_count == 0)
    return 0;
  return static_cast<std::uint32_t>(HashNames(worker_id, "shard") %
                                    shard_count);
}

std::uint64_t HashNames(std::string_view left, std::string_view right) {
  const std::string both = std::string(left) + "\n" + std::string(right);
  return XXH3_64bits(both.data(), both.size());
}

}  // namespace chivecrank::runtime
