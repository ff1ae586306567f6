#include "chivecrank/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace chivecrank::membership {
namespace {

/// On average, one probe in this many may go to a dead member.
constexpr std::uint64_t kDeadPickInterval = 8;

bool Supersedes(const rumor& claim, const member& known) {
  if (claim.incarnation != known.incarnation)
    return claim.incarnation > known.incarnation;
  return claim.status > known.status;
}

bool CanBePicked(const member& known, bool include_dead) {
  return include_dead || known.status != member_status::kDead;
}

}  // namespace

member_table::member_table(peer self,
                           std::uint64_t incarnation,
                           member_settings settings)
    : self_(std::move(self)), settings_(settings), incarnation_(incarnation) {}

void member_table::UpdatePeers(const std::vector<peer>& listed,
                               base::time_point now) {
  std::set<std::string> ids;
  for (const peer& who : listed) {
    if (who.id == self_.id)
      continue;
    ids.insert(who.id);
    const auto [at, added] = entries_.try_emplace(who.id);
    at->second.known.identity = who;
    if (added)
      at->second.known.since = now;
  }
  std::erase_if(entries_,
                [&](const auto& item) { return !ids.contains(item.first); });
}

void member_table::RecordProbeFailure(const std::string& id,
                                      base::time_point now) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  const member& known = found->second.known;
  if (known.status == member_status::kLive)
    Set(found->second, {id, member_status::kSuspect, known.incarnation}, now);
}

void member_table::ApplyRumor(const rumor& claim, base::time_point now) {
  if (claim.id == self_.id) {
    const bool needs_refutation = claim.status == member_status::kSuspect ||
                                  claim.status == member_status::kDead;
    if (needs_refutation && claim.incarnation >= incarnation_)
      incarnation_ = claim.incarnation + 1;
    return;
  }
  const auto found = entries_.find(claim.id);
  if (found != entries_.end() && Supersedes(claim, found->second.known))
    Set(found->second, claim, now);
}

void member_table::ExpireSuspicions(base::time_point now) {
  for (auto& [id, at] : entries_) {
    const bool is_overdue = at.known.status == member_status::kSuspect &&
                            now - at.known.since >= settings_.suspicion_timeout;
    if (is_overdue)
      Set(at, {id, member_status::kDead, at.known.incarnation}, now);
  }
}

void member_table::MarkLeaving() {
  leaving_ = true;
}

std::vector<rumor> member_table::TakeRumors(const std::string& about) {
  std::vector<rumor> taken = {
      {self_.id, leaving_ ? member_status::kLeaving : member_status::kLive,
       incarnation_}};
  const auto target = entries_.find(about);
  if (target != entries_.end() &&
      target->second.known.status != member_status::kLive) {
    const member& known = target->second.known;
    taken.push_back({about, known.status, known.incarnation});
  }
  std::vector<entry*> pending;
  for (auto& [id, at] : entries_) {
    if (at.remaining_repeats > 0 && id != about)
      pending.push_back(&at);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const entry* left, const entry* right) {
                     return left->remaining_repeats > right->remaining_repeats;
                   });
  for (entry* at : pending) {
    if (taken.size() >= settings_.max_rumors)
      break;
    --at->remaining_repeats;
    taken.push_back(
        {at->known.identity.id, at->known.status, at->known.incarnation});
  }
  return taken;
}

std::optional<peer> member_table::PickProbeTarget(
    std::mt19937_64& random) const {
  const bool include_dead = random() % kDeadPickInterval == 0;
  std::vector<const peer*> candidates;
  for (const auto& [id, at] : entries_) {
    if (CanBePicked(at.known, include_dead))
      candidates.push_back(&at.known.identity);
  }
  if (candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  return *candidates[index(random)];
}

std::vector<peer> member_table::PickLive(std::size_t count,
                                         std::mt19937_64& random) const {
  std::vector<peer> live;
  for (const auto& [id, at] : entries_) {
    if (at.known.status == member_status::kLive)
      live.push_back(at.known.identity);
  }
  std::shuffle(live.begin(), live.end(), random);
  if (live.size() > count)
    live.resize(count);
  return live;
}

bool member_table::HasLowestIdInDomain() const {
  return std::none_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    const member& known = item.second.known;
    return known.status == member_status::kLive &&
           known.identity.role == self_.role &&
           known.identity.failure_domain == self_.failure_domain &&
           known.identity.id < self_.id;
  });
}

std::vector<member> member_table::Members() const {
  std::vector<member> all;
  for (const auto& [id, at] : entries_)
    all.push_back(at.known);
  return all;
}

std::size_t member_table::RepeatCount() const {
  return settings_.repeats_per_doubling * std::bit_width(entries_.size() + 1);
}

void member_table::Set(entry& at, const rumor& claim, base::time_point now) {
  if (at.known.status != claim.status)
    at.known.since = now;
  const bool status_changed = at.known.status != claim.status;
  at.known.status = claim.status;
  at.known.incarnation = claim.incarnation;
  if (status_changed || claim.status != member_status::kLive)
    at.remaining_repeats = RepeatCount();
}

}  // namespace chivecrank::membership
