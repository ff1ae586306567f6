#include "chivecrank/ownership/shard_registry.h"

#include "internal/owner_codec.h"

namespace chivecrank::ownership {
namespace {

constexpr platform::call_class kClass = platform::call_class::kOwnership;
constexpr char kOwnersPrefix[] = "owners/";

base::error Held(const owner& record) {
  return {base::error_kind::kConflict,
          "shard " + record.shard + " is held by " + record.instance,
          "wait until its lease has ended"};
}

}  // namespace

shard_registry::shard_registry(platform::store& store) : store_(store) {}

base::result<std::vector<owner>> shard_registry::Owners() {
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, kOwnersPrefix));
  std::vector<owner> owners;
  for (const platform::store_entry& entry : listing.entries) {
    BOOST_OUTCOME_TRY(record, internal::DecodeOwner(entry.value));
    owners.push_back(std::move(record));
  }
  return owners;
}

base::result<std::uint64_t> shard_registry::Claim(const owner& claimant) {
  const std::string key = kOwnersPrefix + claimant.shard;
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, key));
  owner next = claimant;
  next.epoch = 1;
  if (found) {
    BOOST_OUTCOME_TRY(record, internal::DecodeOwner(found->value));
    BOOST_OUTCOME_TRY(held, IsHeld(record));
    if (held)
      return Held(record);
    next.epoch = record.epoch + 1;
  }
  const platform::version expected = found ? found->version : 0;
  const auto written =
      store_.Put(kClass, {key, internal::EncodeOwner(next), expected, 0});
  if (written.has_value())
    return next.epoch;
  if (written.error().kind != base::error_kind::kOutcomeUnknown)
    return written.error();
  BOOST_OUTCOME_TRY(current, store_.Get(kClass, key));
  if (current && current->value == internal::EncodeOwner(next))
    return next.epoch;
  return Held(next);
}

base::result<bool> shard_registry::IsHeld(const owner& record) {
  BOOST_OUTCOME_TRY(holder, store_.Get(kClass, record.holder_key));
  return holder.has_value();
}

}  // namespace chivecrank::ownership
