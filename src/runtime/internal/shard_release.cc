#include "chivecrank/runtime/shard_release.h"

#include <utility>

#include "chivecrank/runtime/keys.h"

namespace chivecrank::runtime {
namespace {

metadata::revision TenureRevision(const released_shard& released) {
  return released.tenure ? released.tenure->written_revision : 0;
}

metadata::transaction TransactionOf(const released_shard& released) {
  metadata::transaction release;
  release.conditions.push_back(
      OwnershipCondition(released.shard, released.fence));
  release.conditions.push_back(
      {TenureKey(released.shard), TenureRevision(released)});
  release.deletes.push_back(OwnerKey(released.shard));
  // An owner without a tenure of its own has granted no leases, so the record
  // of the last one that has stays as it is.
  if (!released.tenure || released.tenure->record.fence != released.fence)
    return release;
  tenure_record record = released.tenure->record;
  record.released = true;
  release.writes.push_back(TenureWrite(released.shard, record));
  return release;
}

/// The tenure that a failed condition shows if that is another one than the
/// condition named; unset otherwise.
std::optional<known_tenure> OtherTenure(const metadata::commit_answer& answer,
                                        const released_shard& released) {
  const metadata::item* stored = answer.Current(TenureKey(released.shard));
  if (stored == nullptr || stored->changed_at == TenureRevision(released))
    return std::nullopt;
  return known_tenure{DecodeTenure(stored->value).value_or(tenure_record{}),
                      stored->changed_at,
                      {}};
}

}  // namespace

void ReleaseShard(metadata::store& store,
                  released_shard released,
                  std::function<void(bool released)> done) {
  metadata::transaction release = TransactionOf(released);
  store.Commit(std::move(release),
               [&store, released, done = std::move(done)](
                   base::result<metadata::commit_answer> answer) mutable {
                 if (!answer || answer.value().applied)
                   return done(answer.has_value());
                 released.tenure = OtherTenure(answer.value(), released);
                 if (!released.tenure)
                   return done(false);
                 ReleaseShard(store, released, std::move(done));
               });
}

}  // namespace chivecrank::runtime
