#ifndef CHIVECRANK_RUNTIME_OWNERSHIP_H_
#define CHIVECRANK_RUNTIME_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/protocol/ownership_lease.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/claim_order.h"
#include "chivecrank/runtime/replica.h"

namespace chivecrank::runtime {

struct ownership_settings {
  std::string node;
  std::int64_t processors_milli = 0;
  /// Term of the store lease to which the instance's member key and its owner
  /// keys are attached.
  std::chrono::milliseconds term{2000};
  std::chrono::milliseconds renew_interval{500};
  /// Time before the next renewal while the store does not respond.
  std::chrono::milliseconds renew_retry_interval{150};
  /// Subtracted from the term: the instance treats its lease as expired this
  /// much earlier than the store does.
  std::chrono::milliseconds clock_margin{250};
  /// How long an owner that the store does not answer goes on renewing worker
  /// leases after its own lease may have expired, as far as lease_horizon lets
  /// it.
  std::chrono::milliseconds outage_grace{8000};
  claim_order_settings claim_order;
  /// How long a much larger instance must have been registered before this one
  /// hands a shard over to it.
  std::chrono::milliseconds hand_over_after{3000};
};

/// How this instance became the owner of a shard.
struct acquisition {
  /// The fence of its commands.
  metadata::revision fence = 0;
  /// The fence of the newest ownership by this node that is known to have
  /// ended; 0 for none.
  metadata::revision ended_fence = 0;
};

/// Holds this instance's lease in the store and the shards that it owns under
/// that lease. claim_order decides who claims a shard without an owner first;
/// if several instances claim it, the store decides. An owner hands a shard
/// over to an instance that is much larger.
class ownership {
 public:
  struct hooks {
    std::function<void(std::uint32_t shard, const acquisition& acquired)>
        on_acquired;
    std::function<void(std::uint32_t shard)> on_lost;
    /// Whether shards may be claimed now.
    std::function<bool()> may_claim;
    /// The store answers again after it did not.
    std::function<void()> on_store_regained;
  };

  ownership(reactor::event_loop& loop,
            metadata::store& store,
            const replica& shared,
            event_log::event_log& log,
            ownership_settings settings,
            hooks handlers);

  void Start();
  /// Gives up all shards and ends the lease, then calls `done`.
  void Release(std::function<void()> done);

  /// Whether the lease is certainly valid, so that no other instance can own
  /// the shards of this one.
  bool IsValid() const;
  /// What the instance may do with its shards. While the store does not answer,
  /// no instance can tell whether it or the network has failed; workers follow
  /// the newest owner, so renewing their leases can't harm.
  protocol::authority GetAuthority() const;
  bool Owns(std::uint32_t shard) const {
    return owned_.contains(shard) && IsValid();
  }
  std::size_t OwnedCount() const { return owned_.size(); }
  /// Whether the store answered the last renewal. After Release() there are no
  /// further renewals, and the result of the last one remains.
  bool IsStoreResponding() const {
    return (lease_ != 0 || releasing_) && !renewal_failing_;
  }
  /// Whether this instance should help to decide the number of shards.
  bool DecidesShardCount() const {
    return registered_ && IsAmongFirst(Candidates(), settings_.node);
  }
  /// Handles a change of a shard's owner in the replica.
  void OnOwnerChanged(std::uint32_t shard);
  /// Gives up a shard, for example when the store or a worker rejected this
  /// instance as its owner.
  void Drop(std::uint32_t shard, std::string_view reason);

 private:
  void DropAll(std::string_view reason);
  void RequestLease();
  void RegisterMember();
  /// Registers again if the member key is gone although the lease is valid.
  void KeepRegistered();
  void RenewLater();
  void Renew();
  void LoseLease(std::string_view reason);
  void ClaimPeriodically();
  void ClaimFreeShards();
  /// Claims the shard if it has no owner and it is this instance's turn.
  void ClaimIfFree(std::uint32_t shard);
  bool MayClaimNow(std::uint32_t shard);
  std::vector<claim_candidate> Candidates() const;
  /// Gives one shard up if a much larger instance has been there for a while.
  void HandOverToLarger();
  void HandOver(std::uint32_t shard);
  /// Ends the lease, then calls `done`.
  void EndLease(std::function<void()> done);
  /// Claims a shard with a transaction that succeeds only if the owner key was
  /// last changed at revision `expected`. An `expected` of 0 means that the key
  /// must not exist.
  void Claim(std::uint32_t shard, metadata::revision expected);
  void OnClaimed(std::uint32_t shard,
                 metadata::revision expected,
                 base::result<metadata::commit_answer> answer);

  reactor::event_loop& loop_;
  metadata::store& store_;
  const replica& shared_;
  event_log::event_log& log_;
  const ownership_settings settings_;
  const hooks hooks_;
  metadata::lease_id lease_ = 0;
  base::time_point valid_until_;
  bool registered_ = false;
  metadata::revision registered_at_ = 0;
  bool renewal_failing_ = false;
  bool releasing_ = false;
  std::map<std::uint32_t, metadata::revision> owned_;
  /// Fences of the shards that this process owned last and has dropped.
  std::map<std::uint32_t, metadata::revision> dropped_;
  /// Shards with a claim in progress, and when it was sent.
  std::map<std::uint32_t, base::time_point> claiming_;
  /// Shards handed over whose owner key still names this instance in the
  /// replica.
  std::set<std::uint32_t> handed_over_;
  /// Since when a much larger instance could own a shard of this one.
  std::optional<base::time_point> larger_since_;
  /// When a shard was first seen without an owner.
  std::map<std::uint32_t, base::time_point> free_since_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_OWNERSHIP_H_
