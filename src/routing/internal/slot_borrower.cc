#include "chivecrank/routing/slot_borrower.h"

#include <algorithm>

namespace chivecrank::routing {

slot_borrower::slot_borrower(const sharing_options& options)
    : options_(options) {}

void slot_borrower::Add(std::int64_t lender,
                        const slot_grant& grant,
                        base::time_point sent) {
  borrowed_grant& added = grants_[{lender, grant.number}];
  added.upstream_id = grant.upstream_id;
  added.slots = grant.slots;
  added.use_until = sent + options_.lease;
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

void slot_borrower::Renewed(const grant_key& key, base::time_point sent) {
  const auto found = grants_.find(key);
  if (found == grants_.end())
    return;
  borrowed_grant& grant = found->second;
  if (!grant.ending)
    grant.use_until = std::max(grant.use_until, sent + options_.lease);
}

std::optional<grant_key> slot_borrower::FindFree(const std::string& upstream_id,
                                                 base::time_point deadline,
                                                 base::time_point now) const {
  for (const grant_key& key : KeysOf(upstream_id)) {
    const borrowed_grant& grant = grants_.at(key);
    const bool fits =
        now < grant.use_until &&
        deadline <= grant.use_until + options_.max_request_duration;
    if (fits && grant.Free() > 0)
      return key;
  }
  return std::nullopt;
}

std::int64_t slot_borrower::Free(const std::string& upstream_id,
                                 base::time_point now) const {
  std::int64_t free = 0;
  for (const grant_key& key : KeysOf(upstream_id)) {
    const borrowed_grant& grant = grants_.at(key);
    if (now < grant.use_until)
      free += grant.Free();
  }
  return free;
}

void slot_borrower::Take(const grant_key& key) {
  ++grants_[key].in_use;
}

void slot_borrower::GiveBack(const grant_key& key, base::time_point now) {
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

void slot_borrower::EndAll(base::time_point now) {
  for (auto& [key, grant] : grants_) {
    grant.use_until = std::min(grant.use_until, now);
    grant.ending = true;
  }
}

void slot_borrower::Recall(std::int64_t lender, std::int64_t slots) {
  for (auto& [key, grant] : grants_) {
    if (key.lender != lender || slots <= 0)
      continue;
    const std::int64_t idle = std::min(slots, grant.Free());
    grant.returned += idle;
    slots -= idle;
    const std::int64_t busy =
        std::clamp<std::int64_t>(grant.in_use - grant.recalled, 0, slots);
    grant.recalled += busy;
    slots -= busy;
  }
}

void slot_borrower::Abandon(const grant_key& key, base::time_point now) {
  // It stays in use here, so that it is never returned by message.
  const auto found = grants_.find(key);
  if (found == grants_.end())
    return;
  found->second.use_until = std::min(found->second.use_until, now);
  found->second.ending = true;
}

void slot_borrower::Shrink(std::int64_t slots, base::time_point now) {
  std::vector<std::pair<base::time_point, grant_key>> idle;
  for (const auto& [key, grant] : grants_) {
    if (grant.Free() > 0 && now < grant.use_until)
      idle.emplace_back(grant.last_used, key);
  }
  std::sort(idle.begin(), idle.end());
  for (const auto& [last_used, key] : idle) {
    if (slots <= 0)
      return;
    borrowed_grant& grant = grants_[key];
    const std::int64_t back = std::min(slots, grant.Free());
    grant.returned += back;
    slots -= back;
  }
}

bool slot_borrower::WantsRenewal(const borrowed_grant& grant,
                                 base::time_point now) const {
  return grant.returned < grant.slots && now < grant.use_until &&
         grant.use_until - now < options_.lease / 2;
}

void slot_borrower::Fill(std::int64_t lender,
                         exchange_request& request,
                         base::time_point now) const {
  for (const auto& [key, grant] : grants_) {
    if (key.lender != lender)
      continue;
    if (grant.returned > grant.confirmed)
      request.returns.push_back({key.number, grant.returned});
    if (WantsRenewal(grant, now))
      request.renewals.push_back(key.number);
  }
}

std::vector<std::int64_t> slot_borrower::Due(base::time_point now) const {
  std::vector<std::int64_t> due;
  for (const auto& [key, grant] : grants_) {
    const bool is_due =
        grant.returned > grant.confirmed || WantsRenewal(grant, now);
    if (is_due && (due.empty() || due.back() != key.lender))
      due.push_back(key.lender);
  }
  return due;
}

void slot_borrower::Confirm(std::int64_t lender,
                            const exchange_request& request) {
  for (const grant_return& returned : request.returns) {
    const auto found = grants_.find({lender, returned.number});
    if (found == grants_.end())
      continue;
    found->second.confirmed = std::max(found->second.confirmed, returned.slots);
    if (found->second.confirmed == found->second.slots)
      grants_.erase(found);
  }
  if (!request.returns.empty())
    RebuildIndex();
}

void slot_borrower::Advance(base::time_point now) {
  for (auto& [key, grant] : grants_) {
    // What the lease ended on goes back as soon as it is free.
    if (now < grant.use_until)
      continue;
    grant.returned = grant.slots - grant.in_use;
    grant.recalled = grant.in_use;
  }
  const auto erased = std::erase_if(grants_, [&](const auto& entry) {
    return now >= entry.second.use_until + options_.ReclaimAfter();
  });
  if (erased > 0)
    RebuildIndex();
}

std::int64_t slot_borrower::borrowed() const {
  std::int64_t total = 0;
  for (const auto& [key, grant] : grants_)
    total += grant.slots - grant.confirmed;
  return total;
}

}  // namespace chivecrank::routing
