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
  for (const peer& other : listed) {
    if (other.id == self_.id)
      continue;
    ids.insert(other.id);
    const auto [record, added] = entries_.try_emplace(other.id);
    record->second.known.identity = other;
    if (added)
      record->second.known.since = now;
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
  for (auto& [id, record] : entries_) {
    const bool is_overdue =
        record.known.status == member_status::kSuspect &&
        now - record.known.since >= settings_.suspicion_timeout;
    if (is_overdue)
      Set(record, {id, member_status::kDead, record.known.incarnation}, now);
  }
}

void member_table::MarkLeaving() {
  leaving_ = true;
}

std::vector<rumor> member_table::TakeRumors(const std::string& about) {
  std::vector<rumor> rumors = {
      {self_.id, leaving_ ? member_status::kLeaving : member_status::kLive,
       incarnation_}};
  const auto target = entries_.find(about);
  if (target != entries_.end() &&
      target->second.known.status != member_status::kLive) {
    const member& known = target->second.known;
    rumors.push_back({about, known.status, known.incarnation});
  }
  std::vector<entry*> pending;
  for (auto& [id, record] : entries_) {
    if (record.remaining_repeats > 0 && id != about)
      pending.push_back(&record);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const entry* left, const entry* right) {
                     return left->remaining_repeats > right->remaining_repeats;
                   });
  for (entry* record : pending) {
    if (rumors.size() >= settings_.max_rumors)
      break;
    --record->remaining_repeats;
    rumors.push_back({record->known.identity.id, record->known.status,
                      record->known.incarnation});
  }
  return rumors;
}

std::optional<peer> member_table::PickProbeTarget(
    std::mt19937_64& random) const {
  const bool include_dead = random() % kDeadPickInterval == 0;
  std::vector<const peer*> candidates;
  for (const auto& [id, record] : entries_) {
    if (CanBePicked(record.known, include_dead))
      candidates.push_back(&record.known.identity);
  }
  if (candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  return *candidates[index(random)];
}

std::vector<peer> member_table::PickLive(std::size_t count,
                                         std::mt19937_64& random) const {
  std::vector<peer> live;
  for (const auto& [id, record] : entries_) {
    if (record.known.status == member_status::kLive)
      live.push_back(record.known.identity);
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
  for (const auto& [id, record] : entries_)
    all.push_back(record.known);
  return all;
}

std::size_t member_table::RepeatCount() const {
  return settings_.repeats_per_doubling * std::bit_width(entries_.size() + 1);
}

void member_table::Set(entry& record,
                       const rumor& claim,
                       base::time_point now) {
  if (record.known.status != claim.status)
    record.known.since = now;
  const bool status_changed = record.known.status != claim.status;
  record.known.status = claim.status;
  record.known.incarnation = claim.incarnation;
  if (status_changed || claim.status != member_status::kLive)
    record.remaining_repeats = RepeatCount();
}

}  // namespace chivecrank::membership
