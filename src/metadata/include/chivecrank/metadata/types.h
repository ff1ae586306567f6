#ifndef CHIVECRANK_METADATA_TYPES_H_
#define CHIVECRANK_METADATA_TYPES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Asynchronous interface of the key-value store that holds persistent state.
namespace chivecrank::metadata {

/// Revision of the whole store, increased by each change. In a condition, 0
/// means that the key does not exist.
using revision = std::int64_t;

/// Identifier of a lease; 0 for none.
using lease_id = std::int64_t;

struct item {
  std::string key;
  std::string value;
  /// Revision of the item's last change.
  revision changed_at = 0;
  lease_id lease = 0;
};

/// Holds while the last change of a key was at the given revision.
struct condition {
  std::string key;
  revision changed_at = 0;
};

/// Writes a key; with a lease, the store deletes the key when the lease ends.
struct write {
  std::string key;
  std::string value;
  lease_id lease = 0;
};

/// Applied completely, or not at all if a condition doesn't hold.
struct transaction {
  std::vector<condition> conditions;
  std::vector<write> writes;
  std::vector<std::string> deletes;

  std::size_t Entries() const {
    return conditions.size() + writes.size() + deletes.size();
  }
};

/// Limit of the store for transaction::Entries().
inline constexpr std::size_t kMaxTransactionEntries = 32;

struct commit_answer {
  /// False when a condition didn't hold; `current` then holds the items of the
  /// conditions' keys.
  bool applied = false;
  revision at = 0;
  std::vector<item> current;

  /// The item of a condition that has this key; null if it does not exist.
  const item* Current(std::string_view key) const {
    const auto found = std::ranges::find(current, key, &item::key);
    return found == current.end() ? nullptr : &*found;
  }
};

/// A page of the items under a prefix. Consecutive pages don't form a
/// snapshot.
struct page {
  std::vector<item> items;
  /// Further items follow the last one.
  bool truncated = false;
  revision current = 0;
};

struct change {
  item now;
  bool deleted = false;
};

struct change_list {
  std::vector<change> changes;
  /// Revision after which to continue the watch.
  revision current = 0;
  /// The store no longer holds all changes; list the prefix again.
  bool history_gone = false;
};

struct granted_lease {
  lease_id id = 0;
  std::chrono::milliseconds term{0};
};

}  // namespace chivecrank::metadata

#endif  // CHIVECRANK_METADATA_TYPES_H_
