#ifndef CHIVECRANK_COORDINATION_TYPES_H_
#define CHIVECRANK_COORDINATION_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/types.h"

/// Client for the platform's key-value store and instance list.
namespace chivecrank::coordination {

/// Purpose of a store call. Each class has its own rate limit and metrics.
enum class call_class {
  kOwnership,
  kJournal,
  kIntent,
  kConfiguration,
  kWatch,
};

std::string_view CallClassName(call_class value);

/// Version of a key; increases with each write. 0 means that the key does not
/// exist.
using version = std::uint64_t;
/// Revision of the whole store; increases with each change of any key.
using revision = std::uint64_t;
/// Identifier of a lease. 0 means no lease.
using lease_id = std::uint64_t;

struct store_entry {
  std::string key;
  std::string value;
  coordination::version version = 0;
  lease_id lease = 0;
};

/// A compare-and-swap write. `expected` is the current version of the key; 0
/// creates it. A key written with a lease is deleted when the lease ends.
struct put_request {
  std::string key;
  std::string value;
  coordination::version expected = 0;
  lease_id lease = 0;
};

/// All entries under a prefix at one revision.
struct store_listing {
  std::vector<store_entry> entries;
  coordination::revision revision = 0;
};

enum class change_kind { kPut, kDelete };

std::string_view ChangeKindName(change_kind value);

/// A change that a watch returns. `entry.value` is empty for kDelete.
struct store_change {
  change_kind kind = change_kind::kPut;
  store_entry entry;
  coordination::revision revision = 0;
};

/// The changes after a revision. If `gap` is set, the store no longer has all
/// of them, and the prefix must be listed again.
struct watch_answer {
  std::vector<store_change> changes;
  coordination::revision revision = 0;
  bool gap = false;
};

struct watch_request {
  std::string prefix;
  coordination::revision after = 0;
  /// How long the store may wait for a change before it answers.
  std::chrono::milliseconds wait{0};
};

/// System instances run the daemons; worker instances run requests and tasks.
enum class instance_kind { kSystem, kWorker };

std::string_view InstanceKindName(instance_kind value);

/// Lifecycle state of an instance, as reported by the platform.
enum class instance_state { kLive, kLeaving };

std::string_view InstanceStateName(instance_state value);

/// Processors in millicores, memory in MiB, number of accelerators.
struct resources {
  std::int64_t processors_milli = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  bool operator==(const resources&) const = default;
};

/// An entry of the instance list. Endpoints that belong to the other instance
/// kind are unset.
struct instance {
  std::string id;
  instance_kind kind = instance_kind::kWorker;
  instance_state state = instance_state::kLive;
  std::string failure_domain;
  std::string rack;
  resources capacity;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  /// Worker: endpoint of its service, which answers requests.
  settings::endpoint service;
  /// Worker: endpoint of its agent, which receives task commands.
  settings::endpoint agent;
  /// System instance: Thrift endpoint of its scheduler.
  settings::endpoint scheduler;
  /// System instance: Thrift endpoint of its entry.
  settings::endpoint entry;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_TYPES_H_
