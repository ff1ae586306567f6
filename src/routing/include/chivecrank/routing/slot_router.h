#ifndef CHIVECRANK_ROUTING_SLOT_ROUTER_H_
#define CHIVECRANK_ROUTING_SLOT_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/platform/types.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// Shares each upstream's slots statically between the entries and picks the
/// least loaded upstream with a slot left. Not safe to use from several
/// threads.
class slot_router {
 public:
  explicit slot_router(entry_share share);

  /// Takes over the list of upstreams. Leaving ones get nothing new.
  void Update(const std::vector<platform::instance>& upstreams);

  /// Takes a slot; nothing when none is free.
  std::optional<platform::instance> Acquire();

  /// Gives a slot back.
  void Release(const std::string& upstream_id);

  /// Slots of an upstream that this entry may use.
  std::int64_t ShareOf(const platform::instance& upstream) const;

 private:
  struct upstream_state {
    platform::instance listed;
    std::int64_t share = 0;
    std::int64_t in_flight = 0;
    bool takes_requests = false;
  };

  entry_share share_;
  std::map<std::string, upstream_state> upstreams_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_ROUTER_H_
