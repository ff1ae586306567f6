#include "chivecrank/ownership/job_shard_registry.h"

namespace chivecrank::ownership {
namespace {

constexpr coordination::call_class kClass = coordination::call_class::kIntent;
constexpr char kKeyPrefix[] = "homes/";
/// Shards cached in memory for repeated submissions; the store has all of them.
constexpr std::size_t kMaxCachedShards = 10'000;

base::error LookupError(const std::string& identifier,
                        const base::error& cause) {
  return {base::error_kind::kUnavailable,
          "can't read the shard of job " + identifier + ": " + cause.message,
          "repeat the call with the same idempotency key"};
}

}  // namespace

job_shard_registry::job_shard_registry(coordination::store& store)
    : store_(store) {}

base::result<std::string> job_shard_registry::FindOrAssignShard(
    const std::string& identifier,
    const std::string& proposed) {
  std::string shard = FindCached(identifier);
  if (!shard.empty())
    return shard;
  const std::string key = kKeyPrefix + identifier;
  const auto created = store_.Put(kClass, {key, proposed, 0, 0});
  shard = proposed;
  if (!created.has_value()) {
    if (created.error().kind == base::error_kind::kUnavailable)
      return LookupError(identifier, created.error());
    // The key was created earlier, or by this write whose response was lost.
    const auto found = store_.Get(kClass, key);
    if (!found.has_value())
      return LookupError(identifier, found.error());
    if (!found.value())
      return LookupError(identifier, created.error());
    shard = found.value()->value;
  }
  Cache(identifier, shard);
  return shard;
}

base::result<std::string> job_shard_registry::FindShard(
    const std::string& identifier) {
  std::string shard = FindCached(identifier);
  if (!shard.empty())
    return shard;
  const auto found = store_.Get(kClass, kKeyPrefix + identifier);
  if (!found.has_value())
    return LookupError(identifier, found.error());
  return found.value() ? found.value()->value : "";
}

std::string job_shard_registry::FindCached(const std::string& identifier) {
  std::lock_guard lock(mutex_);
  const auto found = cache_.find(identifier);
  return found == cache_.end() ? "" : found->second;
}

void job_shard_registry::Cache(const std::string& identifier,
                               const std::string& shard) {
  std::lock_guard lock(mutex_);
  if (cache_.size() >= kMaxCachedShards)
    cache_.clear();
  cache_[identifier] = shard;
}

}  // namespace chivecrank::ownership
