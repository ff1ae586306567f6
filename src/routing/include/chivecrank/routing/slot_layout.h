#ifndef CHIVECRANK_ROUTING_SLOT_LAYOUT_H_
#define CHIVECRANK_ROUTING_SLOT_LAYOUT_H_

#include <cstdint>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// Divides the slots of each upstream among the places of the entries: among
/// those in the upstream's failure domain, or among all where it has none.
/// Depends on the settings and the upstream alone, so that entries which see
/// different lists still agree.
class slot_layout {
 public:
  explicit slot_layout(entry_position share);

  /// Slots of an upstream that belong to this entry.
  std::int64_t OwnSlots(const coordination::instance& upstream) const;

  const entry_position& share() const { return share_; }

 private:
  std::vector<std::int64_t> PlacesFor(
      const coordination::instance& upstream) const;

  entry_position share_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_LAYOUT_H_
