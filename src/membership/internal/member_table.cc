#include "chivecrank/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace chivecrank::membership {
namespace {

/// One pick in this many may be a member that is taken for dead.
constexpr std::uint64_t kDeadPickPeriod = 8;

bool Outranks(const rumor& heard, const member& known) {
  if (heard.incarnation != known.incarnation)
    return heard.incarnation > known.incarnation;
  return heard.status > known.status;
}

bool Pickable(const member& known, bool dead_too) {
  return dead_too || known.status != member_status::kDead;
}

}  // namespace

member_table::member_table(peer self,
                           std::uint64_t incarnation,
                           member_settings settings)
    : self_(std::move(self)), settings_(settings), incarnation_(incarnation) {}

void member_table::SetListed(const std::vector<peer>& listed,
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

void member_table::Unanswered(const std::string& id, base::time_point now) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  const member& known = found->second.known;
  if (known.status == member_status::kLive)
    Set(found->second, {id, member_status::kSuspect, known.incarnation}, now);
}

void member_table::Hear(const rumor& heard, base::time_point now) {
  if (heard.id == self_.id) {
    const bool against = heard.status == member_status::kSuspect ||
                         heard.status == member_status::kDead;
    if (against && heard.incarnation >= incarnation_)
      incarnation_ = heard.incarnation + 1;
    return;
  }
  const auto found = entries_.find(heard.id);
  if (found != entries_.end() && Outranks(heard, found->second.known))
    Set(found->second, heard, now);
}

void member_table::Advance(base::time_point now) {
  for (auto& [id, at] : entries_) {
    const bool overdue = at.known.status == member_status::kSuspect &&
                         now - at.known.since >= settings_.suspicion;
    if (overdue)
      Set(at, {id, member_status::kDead, at.known.incarnation}, now);
  }
}

void member_table::Leave() {
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
    if (at.repeats > 0 && id != about)
      pending.push_back(&at);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const entry* left, const entry* right) {
                     return left->repeats > right->repeats;
                   });
  for (entry* at : pending) {
    if (taken.size() >= settings_.rumor_limit)
      break;
    --at->repeats;
    taken.push_back(
        {at->known.identity.id, at->known.status, at->known.incarnation});
  }
  return taken;
}

std::optional<peer> member_table::Pick(std::mt19937_64& random) const {
  const bool dead_too = random() % kDeadPickPeriod == 0;
  std::vector<const peer*> candidates;
  for (const auto& [id, at] : entries_) {
    if (Pickable(at.known, dead_too))
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

bool member_table::IsFirstInDomain() const {
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

std::size_t member_table::Repeats() const {
  return settings_.repeats * std::bit_width(entries_.size() + 1);
}

void member_table::Set(entry& at, const rumor& heard, base::time_point now) {
  if (at.known.status != heard.status)
    at.known.since = now;
  const bool news = at.known.status != heard.status;
  at.known.status = heard.status;
  at.known.incarnation = heard.incarnation;
  if (news || heard.status != member_status::kLive)
    at.repeats = Repeats();
}

}  // namespace chivecrank::membership
