#include "chivecrank/ownership/job_shard_registry.h"

namespace chivecrank::ownership {
namespace {

constexpr coordination::call_class kClass = coordination::call_class::kIntent;
constexpr char kPrefix[] = "homes/";
/// Homes kept in memory for repeats; the store has them all.
constexpr std::size_t kKnownHomes = 10'000;

base::error Untold(const std::string& identifier, const base::error& cause) {
  return {base::error_kind::kUnavailable,
          "the home of job " + identifier + " can't be told: " + cause.message,
          "repeat the call with the same idempotency key"};
}

}  // namespace

job_shard_registry::job_shard_registry(coordination::store& store)
    : store_(store) {}

base::result<std::string> job_shard_registry::FindOrAssignShard(
    const std::string& identifier,
    const std::string& proposed) {
  std::string home = Known(identifier);
  if (!home.empty())
    return home;
  const std::string key = kPrefix + identifier;
  const auto written = store_.Put(kClass, {key, proposed, 0, 0});
  home = proposed;
  if (!written.has_value()) {
    if (written.error().kind == base::error_kind::kUnavailable)
      return Untold(identifier, written.error());
    // Created before, or by this write though its answer was lost.
    const auto found = store_.Get(kClass, key);
    if (!found.has_value())
      return Untold(identifier, found.error());
    if (!found.value())
      return Untold(identifier, written.error());
    home = found.value()->value;
  }
  Remember(identifier, home);
  return home;
}

base::result<std::string> job_shard_registry::FindShard(
    const std::string& identifier) {
  std::string home = Known(identifier);
  if (!home.empty())
    return home;
  const auto found = store_.Get(kClass, kPrefix + identifier);
  if (!found.has_value())
    return Untold(identifier, found.error());
  return found.value() ? found.value()->value : "";
}

std::string job_shard_registry::Known(const std::string& identifier) {
  std::lock_guard lock(mutex_);
  const auto found = known_.find(identifier);
  return found == known_.end() ? "" : found->second;
}

void job_shard_registry::Remember(const std::string& identifier,
                                  const std::string& shard) {
  std::lock_guard lock(mutex_);
  if (known_.size() >= kKnownHomes)
    known_.clear();
  known_[identifier] = shard;
}

}  // namespace chivecrank::ownership
