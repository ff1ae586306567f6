#include "chivecrank/runtime/ownership.h"

#include <algorithm>
#include <utility>

#include "chivecrank/runtime/shard_release.h"

namespace chivecrank::runtime {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{250};
constexpr std::chrono::milliseconds kClaimInterval{150};

}  // namespace

ownership::ownership(reactor::event_loop& loop,
                     metadata::store& store,
                     const replica& shared,
                     event_log::event_log& log,
                     ownership_settings settings,
                     hooks handlers)
    : loop_(loop),
      store_(store),
      shared_(shared),
      log_(log),
      settings_(std::move(settings)),
      hooks_(std::move(handlers)),
      guard_(loop) {}

void ownership::Start() {
  RequestLease();
  ClaimPeriodically();
}

void ownership::Release(std::function<void()> done) {
  releasing_ = true;
  const std::map<std::uint32_t, metadata::revision> released = owned_;
  DropAll("stopping");
  if (released.empty())
    return EndLease(std::move(done));
  auto pending = std::make_shared<std::size_t>(released.size());
  auto finished = std::make_shared<std::function<void()>>(std::move(done));
  for (const auto& [shard, fence] : released)
    ReleaseShard(store_, {shard, fence, shared_.TenureOf(shard)},
                 guard_.Wrap([this, pending, finished](bool) {
                   if (--*pending == 0)
                     EndLease(std::move(*finished));
                 }));
}

void ownership::EndLease(std::function<void()> done) {
  // Another call to Release() may have ended it.
  if (lease_ == 0)
    return done();
  store_.End(std::exchange(lease_, 0),
             [done = std::move(done)](base::result<bool>) { done(); });
}

bool ownership::IsValid() const {
  return lease_ != 0 && loop_.Now() < valid_until_;
}

protocol::authority ownership::GetAuthority() const {
  if (lease_ == 0)
    return protocol::authority::kNone;
  return protocol::AuthorityAt(loop_.Now(), valid_until_, false,
                               settings_.outage_grace);
}

void ownership::OnOwnerChanged(std::uint32_t shard) {
  const auto known = shared_.Owners().find(shard);
  const auto mine = owned_.find(shard);
  if (known == shared_.Owners().end()) {
    free_since_.try_emplace(shard, loop_.Now());
    handed_over_.erase(shard);
  } else {
    free_since_.erase(shard);
  }
  if (mine == owned_.end() || shared_.Revision() < mine->second)
    return;
  const bool still_mine =
      known != shared_.Owners().end() && known->second.since == mine->second;
  if (!still_mine)
    Drop(shard, "another owner");
}

void ownership::Drop(std::uint32_t shard, std::string_view reason) {
  const auto found = owned_.find(shard);
  if (found == owned_.end())
    return;
  dropped_[shard] = found->second;
  owned_.erase(found);
  log_.Write("shard_lost", {{"shard", shard}, {"reason", reason}});
  hooks_.on_lost(shard);
}

void ownership::DropAll(std::string_view reason) {
  while (!owned_.empty())
    Drop(owned_.begin()->first, reason);
}

void ownership::RequestLease() {
  if (releasing_)
    return;
  const base::time_point sent = loop_.Now();
  store_.Grant(
      settings_.term,
      guard_.Wrap([this, sent](base::result<metadata::granted_lease> granted) {
        if (!granted)
          return guard_.Later(kRetryDelay, [this] { RequestLease(); });
        lease_ = granted.value().id;
        valid_until_ = sent + granted.value().term - settings_.clock_margin;
        registered_ = false;
        renewal_failing_ = false;
        log_.Write("lease_granted", {{"lease", lease_}});
        RegisterMember();
        RenewLater();
      }));
}

void ownership::RegisterMember() {
  metadata::transaction registration;
  registration.writes.push_back({ToString({key_kind::kMember, settings_.node}),
                                 std::to_string(settings_.processors_milli),
                                 lease_});
  store_.Commit(
      std::move(registration),
      guard_.Wrap(
          [this, lease = lease_](base::result<metadata::commit_answer> answer) {
            if (lease != lease_)
              return;
            if (!answer)
              return guard_.Later(kRetryDelay, [this] { RegisterMember(); });
            registered_ = true;
            registered_at_ = answer.value().at;
          }));
}

void ownership::KeepRegistered() {
  if (!registered_ || shared_.Revision() < registered_at_ ||
      shared_.Members().contains(settings_.node))
    return;
  registered_ = false;
  log_.Write("member_key_gone", {{"lease", lease_}});
  RegisterMember();
}

void ownership::RenewLater() {
  guard_.Later(renewal_failing_ ? settings_.renew_retry_interval
                                : settings_.renew_interval,
               [this] { Renew(); });
}

void ownership::Renew() {
  if (releasing_ || lease_ == 0)
    return;
  const base::time_point sent = loop_.Now();
  store_.Renew(
      lease_, guard_.Wrap([this, sent, lease = lease_](
                              base::result<metadata::granted_lease> renewed) {
        if (lease != lease_ || releasing_)
          return;
        if (!renewed && renewed.error().kind == base::error_kind::kNotFound)
          return LoseLease("the store ended it");
        if (renewal_failing_ != !renewed)
          log_.Write(renewed ? "store_regained" : "store_lost",
                     {{"call", "renew"},
                      {"error", renewed ? "" : renewed.error().message}});
        const bool was_failing = std::exchange(renewal_failing_, !renewed);
        if (renewed) {
          valid_until_ = sent + settings_.term - settings_.clock_margin;
          if (was_failing)
            hooks_.on_store_regained();
        } else if (GetAuthority() == protocol::authority::kNone) {
          DropAll("the lease may have expired");
        }
        RenewLater();
      }));
}

void ownership::LoseLease(std::string_view reason) {
  log_.Write("lease_lost", {{"lease", lease_}, {"reason", reason}});
  lease_ = 0;
  DropAll(reason);
  RequestLease();
}

void ownership::ClaimPeriodically() {
  if (releasing_)
    return;
  guard_.Later(kClaimInterval, [this] { ClaimPeriodically(); });
  if (!IsValid() || !hooks_.may_claim())
    return;
  KeepRegistered();
  if (!registered_)
    return;
  ClaimFreeShards();
  HandOverToLarger();
}

void ownership::ClaimFreeShards() {
  for (std::uint32_t shard = 0; shard < shared_.ShardCount(); ++shard)
    ClaimIfFree(shard);
}

void ownership::ClaimIfFree(std::uint32_t shard) {
  if (owned_.contains(shard) || claiming_.contains(shard) ||
      handed_over_.contains(shard))
    return;
  const auto owner = shared_.Owners().find(shard);
  // The owner key already names this instance when the answer to an earlier
  // claim was lost, or when ownership was given up while the store was
  // unavailable.
  const bool own_name =
      owner != shared_.Owners().end() && owner->second.node == settings_.node;
  if (own_name || (owner == shared_.Owners().end() && MayClaimNow(shard)))
    Claim(shard, 0);
}

bool ownership::MayClaimNow(std::uint32_t shard) {
  const base::time_point now = loop_.Now();
  const base::time_point since =
      free_since_.try_emplace(shard, now).first->second;
  const std::vector<claim_candidate> candidates = Candidates();
  if (!std::ranges::count(candidates, settings_.node, &claim_candidate::node))
    return false;
  const auto status = shared_.Statuses().find(shard);
  const std::int64_t previous_owner_milli =
      status == shared_.Statuses().end()
          ? 0
          : status->second.owner_processors_milli;
  const std::string name = ShardName(shard);
  return now - since >=
         ClaimDelay(candidates,
                    {.node = settings_.node,
                     .shard = name,
                     .previous_owner_milli = previous_owner_milli},
                    settings_.claim_order);
}

std::vector<claim_candidate> ownership::Candidates() const {
  std::map<std::string, std::int64_t> shards_of;
  for (const auto& [shard, owner] : shared_.Owners())
    if (!owned_.contains(shard))
      ++shards_of[owner.node];
  // The replica does not show this instance's newest claims yet.
  shards_of[settings_.node] =
      static_cast<std::int64_t>(owned_.size() + claiming_.size());
  std::vector<claim_candidate> candidates;
  for (const auto& [node, member] : shared_.Members())
    candidates.push_back({node, member.processors_milli, shards_of[node]});
  return candidates;
}

void ownership::HandOverToLarger() {
  if (owned_.empty() || !HasMuchLargerCandidate(Candidates(), settings_.node)) {
    larger_since_.reset();
    return;
  }
  const base::time_point now = loop_.Now();
  if (!larger_since_)
    larger_since_ = now;
  if (now - *larger_since_ < settings_.hand_over_after)
    return;
  larger_since_.reset();
  HandOver(owned_.begin()->first);
}

void ownership::HandOver(std::uint32_t shard) {
  const metadata::revision fence = owned_.at(shard);
  // Nothing is sent for the shard any more before the key is gone.
  Drop(shard, "a much larger instance is there");
  handed_over_.insert(shard);
  ReleaseShard(store_, {shard, fence, shared_.TenureOf(shard)},
               guard_.Wrap([this, shard](bool released) {
                 if (!released)
                   handed_over_.erase(shard);
               }));
}

void ownership::Claim(std::uint32_t shard, metadata::revision expected) {
  claiming_[shard] = loop_.Now();
  metadata::transaction claim;
  claim.conditions.push_back({OwnerKey(shard), expected});
  claim.writes.push_back({OwnerKey(shard), settings_.node, lease_});
  store_.Commit(std::move(claim),
                guard_.Wrap([this, shard, expected, lease = lease_](
                                base::result<metadata::commit_answer> answer) {
                  claiming_.erase(shard);
                  if (lease == lease_)
                    OnClaimed(shard, expected, std::move(answer));
                }));
}

void ownership::OnClaimed(std::uint32_t shard,
                          metadata::revision expected,
                          base::result<metadata::commit_answer> answer) {
  if (!answer)
    return;
  if (!answer.value().applied) {
    // Rewrite the key to obtain a fence that no earlier command of this
    // instance carries. If the key is attached to another lease, the previous
    // process of this node wrote it and has ended: a node runs one process at a
    // time.
    const metadata::item* owner = answer.value().Current(OwnerKey(shard));
    if (owner != nullptr && owner->value == settings_.node)
      Claim(shard, owner->changed_at);
    return;
  }
  if (!IsValid())
    return;
  const metadata::revision fence = answer.value().at;
  owned_[shard] = fence;
  free_since_.erase(shard);
  log_.Write("shard_won", {{"shard", shard}, {"fence", fence}});
  // A key with this node's name was written by an earlier process of the node,
  // or by this one for an ownership that it has dropped.
  const metadata::revision ended_fence =
      expected != 0 ? expected : dropped_[shard];
  hooks_.on_acquired(shard, {fence, ended_fence});
}

}  // namespace chivecrank::runtime
