#include "chivecrank/routing/slot_lender.h"

#include <algorithm>

namespace chivecrank::routing {
namespace {

/// Quarantined slots older than this are ignored for an upstream that is no
/// longer listed.
constexpr std::chrono::minutes kMaxQuarantineAge{10};

}  // namespace

slot_lender::slot_lender(const sharing_options& options,
                         base::time_point usable_from)
    : options_(options), usable_from_(usable_from) {}

void slot_lender::SetOwnSlots(const std::string& upstream_id,
                              std::int64_t slots) {
  own_[upstream_id].total = slots;
}

std::int64_t slot_lender::FreeSlots(const std::string& upstream_id,
                                    base::time_point now) const {
  const auto found = own_.find(upstream_id);
  if (found == own_.end() || now < usable_from_)
    return 0;
  const own_slots& own = found->second;
  return std::max<std::int64_t>(
      0, own.total - own.in_use - own.lent - std::ssize(own.quarantined));
}

void slot_lender::Acquire(const std::string& upstream_id) {
  ++own_[upstream_id].in_use;
}

void slot_lender::Release(const std::string& upstream_id) {
  --own_[upstream_id].in_use;
}

void slot_lender::Abandon(const std::string& upstream_id,
                          base::time_point now) {
  own_slots& own = own_[upstream_id];
  --own.in_use;
  own.quarantined.push_back({now, std::nullopt});
  ++quarantined_total_;
}

void slot_lender::RecordAnswer(const std::string& upstream_id,
                               base::time_point sent,
                               base::time_point now) {
  const auto found = own_.find(upstream_id);
  if (found == own_.end())
    return;
  for (quarantined_slot& slot : found->second.quarantined) {
    if (!slot.free_at && sent > slot.since)
      slot.free_at = now + options_.max_overrun;
  }
}

std::optional<slot_grant> slot_lender::Lend(std::int64_t borrower,
                                            const std::string& upstream_id,
                                            std::int64_t slots,
                                            base::time_point now) {
  const std::int64_t lent = std::min(slots, FreeSlots(upstream_id, now));
  if (lent <= 0)
    return std::nullopt;
  own_[upstream_id].lent += lent;
  const std::uint64_t number = ++last_number_;
  const base::time_point reclaim_at = now + options_.ReclaimDelay();
  grants_[number] = {borrower, upstream_id, lent, 0, reclaim_at};
  next_reclaim_ = std::min(next_reclaim_, reclaim_at);
  return slot_grant{number, upstream_id, lent};
}

void slot_lender::Return(std::int64_t borrower, const grant_return& returned) {
  const auto found = grants_.find(returned.number);
  if (found == grants_.end() || found->second.borrower != borrower)
    return;
  lent_grant& grant = found->second;
  const std::int64_t total = std::min(returned.slots, grant.slots);
  if (total <= grant.returned)
    return;
  own_[grant.upstream_id].lent -= total - grant.returned;
  grant.returned = total;
  if (grant.returned == grant.slots)
    grants_.erase(found);
}

bool slot_lender::Renew(std::int64_t borrower,
                        std::uint64_t number,
                        base::time_point now) {
  const auto found = grants_.find(number);
  if (found == grants_.end() || found->second.borrower != borrower)
    return false;
  found->second.reclaim_at = now + options_.ReclaimDelay();
  return true;
}

void slot_lender::AdvanceTo(base::time_point now) {
  if (quarantined_total_ > 0) {
    quarantined_total_ = 0;
    for (auto& [id, own] : own_) {
      std::erase_if(own.quarantined, [&](const quarantined_slot& slot) {
        return slot.free_at && *slot.free_at <= now;
      });
      quarantined_total_ += std::ssize(own.quarantined);
    }
  }
  if (now < next_reclaim_)
    return;
  next_reclaim_ = base::time_point::max();
  for (auto grant = grants_.begin(); grant != grants_.end();) {
    lent_grant& lent = grant->second;
    if (lent.reclaim_at > now) {
      next_reclaim_ = std::min(next_reclaim_, lent.reclaim_at);
      ++grant;
      continue;
    }
    own_slots& own = own_[lent.upstream_id];
    for (; lent.returned < lent.slots; ++lent.returned) {
      --own.lent;
      own.quarantined.push_back({now, std::nullopt});
      ++quarantined_total_;
    }
    grant = grants_.erase(grant);
  }
}

std::vector<std::string> slot_lender::UpstreamsAwaitingAnswer() const {
  std::vector<std::string> waiting;
  for (const auto& [id, own] : own_) {
    if (std::any_of(
            own.quarantined.begin(), own.quarantined.end(),
            [](const quarantined_slot& slot) { return !slot.free_at; })) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

bool slot_lender::IsIdle(const std::string& upstream_id,
                         base::time_point now) const {
  const auto found = own_.find(upstream_id);
  if (found == own_.end())
    return true;
  const own_slots& own = found->second;
  return own.in_use == 0 && own.lent == 0 &&
         std::all_of(own.quarantined.begin(), own.quarantined.end(),
                     [now](const quarantined_slot& slot) {
                       return slot.since + kMaxQuarantineAge < now;
                     });
}

std::int64_t slot_lender::LentTo(std::int64_t borrower) const {
  std::int64_t total = 0;
  for (const auto& [number, grant] : grants_) {
    if (grant.borrower == borrower)
      total += grant.slots - grant.returned;
  }
  return total;
}

std::int64_t slot_lender::lent() const {
  std::int64_t total = 0;
  for (const auto& [id, own] : own_)
    total += own.lent;
  return total;
}

}  // namespace chivecrank::routing
