#ifndef CHIVECRANK_ROUTING_SLOT_LENDER_H_
#define CHIVECRANK_ROUTING_SLOT_LENDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// Slots that belong to this entry: in use, lent or quarantined. Not
/// thread-safe.
///
/// The upstream may still be working on a slot whose request timed out or whose
/// lease ended without a message. Such a slot is quarantined until
/// `max_overrun` after the upstream has answered something that was sent later.
class slot_lender {
 public:
  slot_lender(const sharing_options& options, base::time_point usable_from);

  void SetOwnSlots(const std::string& upstream_id, std::int64_t slots);

  std::int64_t FreeSlots(const std::string& upstream_id,
                         base::time_point now) const;

  void Acquire(const std::string& upstream_id);
  void Release(const std::string& upstream_id);
  /// The request on the slot timed out; the slot is quarantined.
  void Abandon(const std::string& upstream_id, base::time_point now);

  /// The upstream answered a request or probe that was sent at `sent`.
  void RecordAnswer(const std::string& upstream_id,
                    base::time_point sent,
                    base::time_point now);

  /// Lends up to `slots` slots of one upstream; nothing if none is free.
  std::optional<slot_grant> Lend(std::int64_t borrower,
                                 const std::string& upstream_id,
                                 std::int64_t slots,
                                 base::time_point now);
  /// Takes lent slots back. Idempotent.
  void Return(std::int64_t borrower, const grant_return& returned);
  /// Extends a grant. Returns false if the grant no longer exists.
  bool Renew(std::int64_t borrower, std::uint64_t number, base::time_point now);

  /// Reclaims slots whose leases or quarantine have ended. Call it before each
  /// decision.
  void AdvanceTo(base::time_point now);

  /// Upstreams with quarantined slots that have not answered anything since.
  std::vector<std::string> UpstreamsAwaitingAnswer() const;
  /// Whether no slot of the upstream is in use, lent or recently quarantined.
  bool IsIdle(const std::string& upstream_id, base::time_point now) const;
  void Forget(const std::string& upstream_id) { own_.erase(upstream_id); }

  std::int64_t lent() const;
  std::int64_t LentTo(std::int64_t borrower) const;
  std::int64_t quarantined() const { return quarantined_total_; }

 private:
  struct quarantined_slot {
    base::time_point since;
    std::optional<base::time_point> free_at;
  };
  struct own_slots {
    std::int64_t total = 0;
    std::int64_t in_use = 0;
    std::int64_t lent = 0;
    std::vector<quarantined_slot> quarantined;
  };
  struct lent_grant {
    std::int64_t borrower = 0;
    std::string upstream_id;
    std::int64_t slots = 0;
    std::int64_t returned = 0;
    base::time_point reclaim_at;
  };

  const sharing_options options_;
  const base::time_point usable_from_;
  std::map<std::string, own_slots> own_;
  std::map<std::uint64_t, lent_grant> grants_;
  std::uint64_t last_number_ = 0;
  base::time_point next_reclaim_ = base::time_point::max();
  std::int64_t quarantined_total_ = 0;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_LENDER_H_
