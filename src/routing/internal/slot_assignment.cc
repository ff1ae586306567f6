#include "chivecrank/routing/slot_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chivecrank::routing {

slot_assignment::slot_assignment(entry_position position)
    : position_(std::move(position)) {}

std::int64_t slot_assignment::OwnSlots(
    const coordination::instance& upstream) const {
  const std::vector<std::int64_t> entries = EligibleEntries(upstream);
  const auto own = std::find(entries.begin(), entries.end(), position_.index);
  if (own == entries.end())
    return 0;
  const auto count = static_cast<std::int64_t>(entries.size());
  // The offset gives the remainder of the division to different entries for
  // different upstreams.
  const auto offset = static_cast<std::int64_t>(
      XXH64(upstream.id.data(), upstream.id.size(), 0) %
      static_cast<std::uint64_t>(count));
  const std::int64_t entry = (own - entries.begin() + offset) % count;
  const std::int64_t rest = upstream.slots % count;
  return upstream.slots / count + (entry < rest ? 1 : 0);
}

std::vector<std::int64_t> slot_assignment::EligibleEntries(
    const coordination::instance& upstream) const {
  std::vector<std::int64_t> same_domain;
  std::vector<std::int64_t> all;
  for (std::int64_t entry = 0; entry < position_.count; ++entry) {
    all.push_back(entry);
    const auto index = static_cast<std::size_t>(entry);
    if (index < position_.failure_domains.size() &&
        position_.failure_domains[index] == upstream.failure_domain) {
      same_domain.push_back(entry);
    }
  }
  return same_domain.empty() ? all : same_domain;
}

}  // namespace chivecrank::routing
