#ifndef CHIVECRANK_RUNTIME_OWNERSHIP_H_
#define CHIVECRANK_RUNTIME_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/replica.h"

namespace chivecrank::runtime {

struct ownership_settings {
  std::string node;
  std::int64_t processors_milli = 0;
  /// Term of the lease under which the instance and its shards are known.
  std::chrono::milliseconds term{2000};
  std::chrono::milliseconds renew_interval{500};
  /// Time before the next renewal while the store doesn't answer.
  std::chrono::milliseconds probe_interval{150};
  /// Taken off the term before it counts as over here.
  std::chrono::milliseconds clock_margin{250};
  /// How long the next candidate waits for the one before it.
  std::chrono::milliseconds candidate_pause{300};
};

/// This instance's lease in the store and the shards that it owns under it.
/// A shard that has no owner goes to the member with most processor time per
/// shard; the store decides when several try.
class ownership {
 public:
  struct hooks {
    std::function<void(std::uint32_t shard, metadata::revision fence)> on_won;
    std::function<void(std::uint32_t shard)> on_lost;
    /// Whether shards may be taken now.
    std::function<bool()> may_take;
  };

  ownership(reactor::event_loop& loop,
            metadata::store& store,
            const replica& shared,
            event_log::event_log& log,
            ownership_settings settings,
            hooks handlers);

  void Start();
  /// Gives all shards up and ends the lease; `done` is called at the end.
  void Release(std::function<void()> done);

  /// Whether no other instance can own this one's shards now.
  bool IsValid() const;
  bool Owns(std::uint32_t shard) const { return owned_.contains(shard); }
  std::size_t OwnedCount() const { return owned_.size(); }
  /// The store answered the newest renewal. One that has given its lease back
  /// renews no more and goes by the last.
  bool StoreAnswers() const {
    return (lease_ != 0 || releasing_) && !renewal_failing_;
  }
  /// Looks at a shard whose owner changed.
  void OnOwnerChanged(std::uint32_t shard);
  /// The store rejected a write as the owner of the shard.
  void Drop(std::uint32_t shard, std::string_view reason);

 private:
  void Grant();
  void Announce();
  void RenewLater();
  void Renew();
  void LoseLease(std::string_view reason);
  void TakeFreeShards();
  bool IsOwnTurn(std::uint32_t shard);
  /// Claims a shard whose owner key is as of revision `expected`.
  void Take(std::uint32_t shard, metadata::revision expected);
  void OnTaken(std::uint32_t shard,
               base::result<metadata::commit_answer> answer);

  reactor::event_loop& loop_;
  metadata::store& store_;
  const replica& shared_;
  event_log::event_log& log_;
  const ownership_settings settings_;
  const hooks hooks_;
  metadata::lease_id lease_ = 0;
  base::time_point valid_until_;
  bool announced_ = false;
  bool renewal_failing_ = false;
  bool releasing_ = false;
  std::map<std::uint32_t, metadata::revision> owned_;
  /// Shards that are being taken.
  std::map<std::uint32_t, base::time_point> taking_;
  /// Since when a shard has had no owner.
  std::map<std::uint32_t, base::time_point> free_since_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_OWNERSHIP_H_
