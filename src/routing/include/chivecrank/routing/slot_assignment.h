#ifndef CHIVECRANK_ROUTING_SLOT_ASSIGNMENT_H_
#define CHIVECRANK_ROUTING_SLOT_ASSIGNMENT_H_

#include <cstdint>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// Assigns the slots of each upstream to the entries in the upstream's failure
/// domain, or to all entries if it has none there. The result depends only on
/// the settings and the upstream, so entries with different upstream lists
/// still agree.
class slot_assignment {
 public:
  explicit slot_assignment(entry_position position);

  /// Number of an upstream's slots that belong to this entry.
  std::int64_t OwnSlots(const coordination::instance& upstream) const;

  const entry_position& position() const { return position_; }

 private:
  std::vector<std::int64_t> EligibleEntries(
      const coordination::instance& upstream) const;

  entry_position position_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_ASSIGNMENT_H_
