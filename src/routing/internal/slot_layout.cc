#include "chivecrank/routing/slot_layout.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chivecrank::routing {

slot_layout::slot_layout(entry_position share) : share_(std::move(share)) {}

std::int64_t slot_layout::OwnSlots(
    const coordination::instance& upstream) const {
  const std::vector<std::int64_t> places = PlacesFor(upstream);
  const auto own = std::find(places.begin(), places.end(), share_.index);
  if (own == places.end())
    return 0;
  const auto count = static_cast<std::int64_t>(places.size());
  // The rest goes to other entries at each upstream.
  const auto offset = static_cast<std::int64_t>(
      XXH64(upstream.id.data(), upstream.id.size(), 0) %
      static_cast<std::uint64_t>(count));
  const std::int64_t place = (own - places.begin() + offset) % count;
  const std::int64_t rest = upstream.slots % count;
  return upstream.slots / count + (place < rest ? 1 : 0);
}

std::vector<std::int64_t> slot_layout::PlacesFor(
    const coordination::instance& upstream) const {
  std::vector<std::int64_t> near;
  std::vector<std::int64_t> all;
  for (std::int64_t place = 0; place < share_.count; ++place) {
    all.push_back(place);
    const auto index = static_cast<std::size_t>(place);
    if (index < share_.failure_domains.size() &&
        share_.failure_domains[index] == upstream.failure_domain) {
      near.push_back(place);
    }
  }
  return near.empty() ? all : near;
}

}  // namespace chivecrank::routing
