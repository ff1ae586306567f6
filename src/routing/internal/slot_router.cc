#include "chivecrank/routing/slot_router.h"

#include <xxhash.h>

namespace chivecrank::routing {

slot_router::slot_router(entry_share share) : share_(share) {}

void slot_router::Update(const std::vector<platform::instance>& upstreams) {
  for (auto& [id, known] : upstreams_)
    known.takes_requests = false;
  for (const platform::instance& listed : upstreams) {
    if (listed.kind != platform::instance_kind::kWorker)
      continue;
    upstream_state& known = upstreams_[listed.id];
    known.listed = listed;
    known.share = ShareOf(listed);
    known.takes_requests = listed.state == platform::instance_state::kLive;
  }
  std::erase_if(upstreams_, [](const auto& entry) {
    return !entry.second.takes_requests && entry.second.in_flight == 0;
  });
}

std::optional<platform::instance> slot_router::Acquire() {
  upstream_state* best = nullptr;
  for (auto& [id, known] : upstreams_) {
    if (!known.takes_requests || known.in_flight >= known.share)
      continue;
    if (best == nullptr || known.in_flight < best->in_flight)
      best = &known;
  }
  if (best == nullptr)
    return std::nullopt;
  ++best->in_flight;
  return best->listed;
}

void slot_router::Release(const std::string& upstream_id) {
  const auto found = upstreams_.find(upstream_id);
  if (found != upstreams_.end() && found->second.in_flight > 0)
    --found->second.in_flight;
}

std::int64_t slot_router::ShareOf(const platform::instance& upstream) const {
  const std::int64_t whole = upstream.slots / share_.count;
  const std::int64_t rest = upstream.slots % share_.count;
  // The rest goes to other entries at each upstream.
  const auto offset = static_cast<std::int64_t>(
      XXH64(upstream.id.data(), upstream.id.size(), 0) %
      static_cast<std::uint64_t>(share_.count));
  const std::int64_t place = (share_.index + offset) % share_.count;
  return whole + (place < rest ? 1 : 0);
}

}  // namespace chivecrank::routing
