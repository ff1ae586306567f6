#include "chivecrank/coordination/memory_store.h"

namespace chivecrank::coordination {
namespace {

constexpr std::size_t kMaxKeptChanges = 10'000;
constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;

base::error ConflictError(const std::string& key, version current) {
  return {base::error_kind::kConflict,
          "key " + key + " is at version " + std::to_string(current),
          "read the key again before deciding whether to repeat the write"};
}

base::error LeaseExpiredError(lease_id lease) {
  return {base::error_kind::kNotFound,
          "lease " + std::to_string(lease) + " has expired",
          "acquire a new lease and check which keys of the old one are gone"};
}

}  // namespace

memory_store::memory_store(base::clock& clock) : clock_(clock) {}

base::result<std::optional<store_entry>> memory_store::Get(
    call_class /*purpose*/,
    const std::string& key) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return std::optional<store_entry>();
  return std::optional<store_entry>(found->second);
}

base::result<version> memory_store::Put(call_class /*purpose*/,
                                        const put_request& write) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  if (write.value.size() > kMaxValueBytes) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the value is larger than 1 MiB",
                       "split the value across several keys"};
  }
  if (write.lease != 0 && !leases_.contains(write.lease))
    return LeaseExpiredError(write.lease);
  const auto found = entries_.find(write.key);
  const version current = found == entries_.end() ? 0 : found->second.version;
  if (current != write.expected)
    return ConflictError(write.key, current);
  store_entry& entry = entries_[write.key];
  entry = {write.key, write.value, revision_ + 1, write.lease};
  AppendChange(change_kind::kPut, entry);
  return entry.version;
}

base::result<void> memory_store::Delete(call_class /*purpose*/,
                                        const std::string& key,
                                        version expected) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const auto found = entries_.find(key);
  const version current = found == entries_.end() ? 0 : found->second.version;
  if (current == 0 || current != expected)
    return ConflictError(key, current);
  entries_.erase(found);
  AppendChange(change_kind::kDelete, {key, "", current, 0});
  return base::Success();
}

base::result<store_listing> memory_store::List(call_class /*purpose*/,
                                               const std::string& prefix) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  store_listing listing;
  listing.revision = revision_;
  for (auto at = entries_.lower_bound(prefix);
       at != entries_.end() && at->first.starts_with(prefix); ++at) {
    listing.entries.push_back(at->second);
  }
  return listing;
}

base::result<watch_answer> memory_store::Watch(const watch_request& request) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  watch_answer answer;
  answer.revision = revision_;
  answer.gap =
      request.after < last_dropped_revision_ || request.after > revision_;
  for (const store_change& change : changes_) {
    if (change.revision > request.after &&
        change.entry.key.starts_with(request.prefix)) {
      answer.changes.push_back(change);
    }
  }
  return answer;
}

base::result<lease_id> memory_store::GrantLease(
    std::chrono::milliseconds term) {
  std::lock_guard lock(mutex_);
  const lease_id granted = ++last_lease_;
  leases_[granted] = {term, clock_.Now() + term};
  return granted;
}

base::result<void> memory_store::RenewLease(lease_id lease) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const auto found = leases_.find(lease);
  if (found == leases_.end())
    return LeaseExpiredError(lease);
  found->second.expires_at = clock_.Now() + found->second.term;
  return base::Success();
}

base::result<void> memory_store::RevokeLease(lease_id lease) {
  std::lock_guard lock(mutex_);
  leases_.erase(lease);
  DeleteKeysOf(lease);
  return base::Success();
}

void memory_store::ExpireLeases() {
  const base::time_point now = clock_.Now();
  for (auto at = leases_.begin(); at != leases_.end();) {
    if (at->second.expires_at > now) {
      ++at;
      continue;
    }
    const lease_id expired = at->first;
    at = leases_.erase(at);
    DeleteKeysOf(expired);
  }
}

void memory_store::DeleteKeysOf(lease_id lease) {
  for (auto at = entries_.begin(); at != entries_.end();) {
    if (at->second.lease != lease) {
      ++at;
      continue;
    }
    const store_entry deleted{at->first, "", at->second.version, 0};
    at = entries_.erase(at);
    AppendChange(change_kind::kDelete, deleted);
  }
}

void memory_store::AppendChange(change_kind kind, const store_entry& entry) {
  ++revision_;
  changes_.push_back({kind, entry, revision_});
  if (changes_.size() <= kMaxKeptChanges)
    return;
  last_dropped_revision_ = changes_.front().revision;
  changes_.pop_front();
}

}  // namespace chivecrank::coordination
