#include "chivecrank/routing/slot_borrower.h"

#include <algorithm>

namespace chivecrank::routing {

slot_borrower::slot_borrower(const sharing_options& options)
    : options_(options) {}

void slot_borrower::AddGrant(std::int64_t lender,
                             const slot_grant& grant,
                             base::time_point sent) {
  borrowed_grant& added = grants_[{lender, grant.number}];
  added.upstream_id = grant.upstream_id;
  added.slots = grant.slots;
  added.lease_end = sent + options_.lease;
  added.last_used = sent;
  RebuildIndex();
}

const std::vector<grant_key>& slot_borrower::KeysOf(
    const std::string& upstream_id) const {
  static const std::vector<grant_key> none;
  const auto found = by_upstream_.find(upstream_id);
  return found == by_upstream_.end() ? none : found->second;
}

void slot_borrower::RebuildIndex() {
  by_upstream_.clear();
  for (const auto& [key, grant] : grants_)
    by_upstream_[grant.upstream_id].push_back(key);
}

void slot_borrower::RecordRenewal(const grant_key& key, base::time_point sent) {
  const auto found = grants_.find(key);
  if (found == grants_.end())
    return;
  borrowed_grant& grant = found->second;
  if (!grant.renewal_disabled)
    grant.lease_end = std::max(grant.lease_end, sent + options_.lease);
}

std::optional<grant_key> slot_borrower::FindFreeGrant(
    const std::string& upstream_id,
    base::time_point deadline,
    base::time_point now) const {
  for (const grant_key& key : KeysOf(upstream_id)) {
    const borrowed_grant& grant = grants_.at(key);
    const bool usable =
        now < grant.lease_end &&
        deadline <= grant.lease_end + options_.max_request_duration;
    if (usable && grant.FreeSlots() > 0)
      return key;
  }
  return std::nullopt;
}

std::int64_t slot_borrower::FreeSlots(const std::string& upstream_id,
                                      base::time_point now) const {
  std::int64_t free = 0;
  for (const grant_key& key : KeysOf(upstream_id)) {
    const borrowed_grant& grant = grants_.at(key);
    if (now < grant.lease_end)
      free += grant.FreeSlots();
  }
  return free;
}

void slot_borrower::Acquire(const grant_key& key) {
  ++grants_[key].in_use;
}

void slot_borrower::Release(const grant_key& key, base::time_point now) {
  const auto found = grants_.find(key);
  if (found == grants_.end())
    return;
  borrowed_grant& grant = found->second;
  --grant.in_use;
  grant.last_used = now;
  if (grant.recalled > 0) {
    --grant.recalled;
    ++grant.returned;
  }
}

void slot_borrower::EndLeases(base::time_point now) {
  for (auto& [key, grant] : grants_) {
    grant.lease_end = std::min(grant.lease_end, now);
    grant.renewal_disabled = true;
  }
}

void slot_borrower::ReturnToLender(std::int64_t lender, std::int64_t slots) {
  for (auto& [key, grant] : grants_) {
    if (key.lender != lender || slots <= 0)
      continue;
    const std::int64_t idle = std::min(slots, grant.FreeSlots());
    grant.returned += idle;
    slots -= idle;
    const std::int64_t busy =
        std::clamp<std::int64_t>(grant.in_use - grant.recalled, 0, slots);
    grant.recalled += busy;
    slots -= busy;
  }
}

void slot_borrower::Abandon(const grant_key& key, base::time_point now) {
  // The slot stays in use here, so that it is never returned by message.
  const auto found = grants_.find(key);
  if (found == grants_.end())
    return;
  found->second.lease_end = std::min(found->second.lease_end, now);
  found->second.renewal_disabled = true;
}

void slot_borrower::ReturnIdle(std::int64_t slots, base::time_point now) {
  std::vector<std::pair<base::time_point, grant_key>> idle;
  for (const auto& [key, grant] : grants_) {
    if (grant.FreeSlots() > 0 && now < grant.lease_end)
      idle.emplace_back(grant.last_used, key);
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [last_used, key] : idle) {
    if (slots <= 0)
      return;
    borrowed_grant& grant = grants_[key];
    const std::int64_t surplus = std::min(slots, grant.FreeSlots());
    grant.returned += surplus;
    slots -= surplus;
  }
}

bool slot_borrower::NeedsRenewal(const borrowed_grant& grant,
                                 base::time_point now) const {
  return grant.returned < grant.slots && now < grant.lease_end &&
         grant.lease_end - now < options_.lease / 2;
}

void slot_borrower::FillRequest(std::int64_t lender,
                                exchange_request& request,
                                base::time_point now) const {
  for (const auto& [key, grant] : grants_) {
    if (key.lender != lender)
      continue;
    if (grant.returned > grant.acknowledged)
      request.returns.push_back({key.number, grant.returned});
    if (NeedsRenewal(grant, now))
      request.renewals.push_back(key.number);
  }
}

std::vector<std::int64_t> slot_borrower::LendersDue(
    base::time_point now) const {
  std::vector<std::int64_t> due;
  for (const auto& [key, grant] : grants_) {
    const bool is_due =
        grant.returned > grant.acknowledged || NeedsRenewal(grant, now);
    if (is_due && (due.empty() || due.back() != key.lender))
      due.push_back(key.lender);
  }
  return due;
}

void slot_borrower::RecordDelivery(std::int64_t lender,
                                   const exchange_request& request) {
  for (const grant_return& returned : request.returns) {
    const auto found = grants_.find({lender, returned.number});
    if (found == grants_.end())
      continue;
    found->second.acknowledged =
        std::max(found->second.acknowledged, returned.slots);
    if (found->second.acknowledged == found->second.slots)
      grants_.erase(found);
  }
  if (!request.returns.empty())
    RebuildIndex();
}

void slot_borrower::AdvanceTo(base::time_point now) {
  for (auto& [key, grant] : grants_) {
    // Slots whose lease has ended are returned as soon as they are free.
    if (now < grant.lease_end)
      continue;
    grant.returned = grant.slots - grant.in_use;
    grant.recalled = grant.in_use;
  }
  const auto erased = std::erase_if(grants_, [&](const auto& entry) {
    return now >= entry.second.lease_end + options_.ReclaimDelay();
  });
  if (erased > 0)
    RebuildIndex();
}

std::int64_t slot_borrower::borrowed() const {
  std::int64_t total = 0;
  for (const auto& [key, grant] : grants_)
    total += grant.slots - grant.acknowledged;
  return total;
}

}  // namespace chivecrank::routing
