#include "chivecrank/ownership/shard_registry.h"

#include "internal/owner_codec.h"

namespace chivecrank::ownership {
namespace {

constexpr coordination::call_class kClass =
    coordination::call_class::kOwnership;
constexpr char kOwnersPrefix[] = "owners/";
constexpr char kHoldersPrefix[] = "holders/";

base::error HeldError(const owner& record) {
  return {base::error_kind::kConflict,
          "shard " + record.shard + " is held by " + record.instance,
          "wait until its lease has expired"};
}

}  // namespace

shard_registry::shard_registry(coordination::store& store) : store_(store) {}

base::result<owner_changes> shard_registry::ListOwners() {
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, kOwnersPrefix));
  owner_changes all;
  all.revision = listing.revision;
  for (const coordination::store_entry& entry : listing.entries) {
    BOOST_OUTCOME_TRY(record, internal::DecodeOwner(entry.value));
    all.owners.push_back(std::move(record));
  }
  return all;
}

base::result<owner_changes> shard_registry::ChangesAfter(
    coordination::revision known) {
  BOOST_OUTCOME_TRY(seen, store_.Watch({kOwnersPrefix, known, {}}));
  owner_changes changes;
  changes.revision = seen.revision;
  changes.gap = seen.gap;
  for (const coordination::store_change& change : seen.changes) {
    if (change.kind != coordination::change_kind::kPut)
      continue;
    BOOST_OUTCOME_TRY(record, internal::DecodeOwner(change.entry.value));
    changes.owners.push_back(std::move(record));
  }
  return changes;
}

base::result<std::set<std::string>> shard_registry::ListLeaseHolders() {
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, kHoldersPrefix));
  std::set<std::string> instances;
  for (const coordination::store_entry& entry : listing.entries)
    instances.insert(entry.value);
  return instances;
}

base::result<void> shard_registry::Release(const std::string& shard,
                                           std::uint64_t epoch) {
  const std::string key = kOwnersPrefix + shard;
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, key));
  if (!found)
    return base::Success();
  BOOST_OUTCOME_TRY(record, internal::DecodeOwner(found->value));
  if (record.epoch != epoch)
    return HeldError(record);
  // No key has an empty name, so the shard counts as free.
  record.holder_key.clear();
  BOOST_OUTCOME_TRY(store_.Put(
      kClass, {key, internal::EncodeOwner(record), found->version, 0}));
  return base::Success();
}

base::result<std::uint64_t> shard_registry::Claim(const owner& claimant) {
  const std::string key = kOwnersPrefix + claimant.shard;
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, key));
  owner next = claimant;
  next.epoch = 1;
  if (found) {
    BOOST_OUTCOME_TRY(record, internal::DecodeOwner(found->value));
    if (record.holder_key != claimant.holder_key) {
      BOOST_OUTCOME_TRY(held, IsHeld(record));
      if (held)
        return HeldError(record);
    }
    next.epoch = record.epoch + 1;
  }
  const coordination::version expected = found ? found->version : 0;
  const auto written =
      store_.Put(kClass, {key, internal::EncodeOwner(next), expected, 0});
  if (written.has_value())
    return next.epoch;
  if (written.error().kind != base::error_kind::kOutcomeUnknown)
    return written.error();
  BOOST_OUTCOME_TRY(current, store_.Get(kClass, key));
  if (current && current->value == internal::EncodeOwner(next))
    return next.epoch;
  return HeldError(next);
}

base::result<bool> shard_registry::IsHeld(const owner& record) {
  if (record.holder_key.empty())
    return false;
  BOOST_OUTCOME_TRY(holder, store_.Get(kClass, record.holder_key));
  return holder.has_value();
}

}  // namespace chivecrank::ownership
