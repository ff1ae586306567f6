#ifndef CHIVECRANK_METADATA_TYPES_H_
#define CHIVECRANK_METADATA_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// The key-value store that keeps what must last, called without blocking.
namespace chivecrank::metadata {

/// Revision of the whole store; grows with each change. As a condition, 0
/// means that the key does not exist.
using revision = std::int64_t;

/// Identifier of a lease; 0 for none.
using lease_id = std::int64_t;

struct item {
  std::string key;
  std::string value;
  /// The item's last change.
  revision changed_at = 0;
  lease_id lease = 0;
};

/// A key is as it was at a revision.
struct condition {
  std::string key;
  revision changed_at = 0;
};

/// Writes a key; with a lease the key goes when the lease ends.
struct write {
  std::string key;
  std::string value;
  lease_id lease = 0;
};

/// Applied as a whole, or not at all when a condition doesn't hold.
struct transaction {
  std::vector<condition> conditions;
  std::vector<write> writes;
  std::vector<std::string> deletes;

  std::size_t Entries() const {
    return conditions.size() + writes.size() + deletes.size();
  }
};

/// Entries that one transaction may have.
inline constexpr std::size_t kMostEntries = 32;

struct commit_answer {
  /// False: a condition did not hold, `current` tells how its keys are.
  bool applied = false;
  revision at = 0;
  std::vector<item> current;
};

/// A page of the items under a prefix. Pages are not a snapshot.
struct page {
  std::vector<item> items;
  /// More items follow after the last one.
  bool truncated = false;
  revision current = 0;
};

struct change {
  item now;
  bool deleted = false;
};

struct change_list {
  std::vector<change> changes;
  /// Where to go on.
  revision current = 0;
  /// Changes were dropped: list the prefix again.
  bool history_gone = false;
};

struct granted_lease {
  lease_id id = 0;
  std::chrono::milliseconds term{0};
};

}  // namespace chivecrank::metadata

#endif  // CHIVECRANK_METADATA_TYPES_H_
