#ifndef CHIVECRANK_COORDINATION_TYPES_H_
#define CHIVECRANK_COORDINATION_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/types.h"

/// The platform's key-value store and instance list, as seen by this project.
namespace chivecrank::coordination {

/// What a store call serves. Each class has its own budget and metrics.
enum class call_class {
  kOwnership,
  kJournal,
  kIntent,
  kConfiguration,
  kWatch,
};

std::string_view CallClassName(call_class value);

/// Version of one key; grows with each write. 0 means "does not exist".
using version = std::uint64_t;
/// Revision of the whole store; grows with each write of any key.
using revision = std::uint64_t;
/// Identifier of a lease. 0 means "no lease".
using lease_id = std::uint64_t;

/// A key with its value.
struct store_entry {
  std::string key;
  std::string value;
  coordination::version version = 0;
  lease_id lease = 0;
};

/// A compare-and-swap write. `expected` 0 creates the key. A key written with
/// a lease disappears when the lease ends.
struct put_request {
  std::string key;
  std::string value;
  coordination::version expected = 0;
  lease_id lease = 0;
};

/// All keys under a prefix, as of one revision.
struct store_listing {
  std::vector<store_entry> entries;
  coordination::revision revision = 0;
};

enum class change_kind { kPut, kDelete };

std::string_view ChangeKindName(change_kind value);

/// One change that a watch saw. `entry.value` is empty for kDelete.
struct store_change {
  change_kind kind = change_kind::kPut;
  store_entry entry;
  coordination::revision revision = 0;
};

/// The changes after a revision. With `gap` set some were dropped: list the
/// prefix again.
struct watch_answer {
  std::vector<store_change> changes;
  coordination::revision revision = 0;
  bool gap = false;
};

/// What a watch asks for.
struct watch_request {
  std::string prefix;
  coordination::revision after = 0;
  /// How long the store may hold the call when nothing has changed.
  std::chrono::milliseconds wait{0};
};

/// What an instance on the list is for.
enum class instance_kind { kSystem, kWorker };

std::string_view InstanceKindName(instance_kind value);

/// The platform's view of an instance's life.
enum class instance_state { kLive, kLeaving };

std::string_view InstanceStateName(instance_state value);

/// Processors in thousandths, memory in MiB, accelerators in pieces.
struct resources {
  std::int64_t processors_milli = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  bool operator==(const resources&) const = default;
};

/// One entry of the instance list. The endpoints of the other kind are unset.
struct instance {
  std::string id;
  instance_kind kind = instance_kind::kWorker;
  instance_state state = instance_state::kLive;
  std::string failure_domain;
  std::string rack;
  resources capacity;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  /// Worker: where its service answers requests.
  settings::endpoint service;
  /// Worker: where its agent takes task commands.
  settings::endpoint agent;
  /// System instance: Thrift endpoint of its scheduler.
  settings::endpoint scheduler;
  /// System instance: Thrift endpoint of its entry.
  settings::endpoint entry;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_TYPES_H_
