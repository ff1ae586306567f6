#ifndef CHIVECRANK_ROUTING_SLOT_BORROWER_H_
#define CHIVECRANK_ROUTING_SLOT_BORROWER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// Slots borrowed from other entries. Each lease is counted from the time its
/// request was sent, so it ends here before it ends at the lender. Not
/// thread-safe.
class slot_borrower {
 public:
  explicit slot_borrower(const sharing_options& options);

  /// Adds a grant from the lender's answer to a message sent at `sent`.
  void AddGrant(std::int64_t lender,
                const slot_grant& grant,
                base::time_point sent);
  /// Extends a grant that the lender renewed in its answer to a message sent at
  /// `sent`.
  void RecordRenewal(const grant_key& key, base::time_point sent);

  /// Returns a grant of the upstream with a free slot whose lease allows a
  /// request with this deadline.
  std::optional<grant_key> FindFreeGrant(const std::string& upstream_id,
                                         base::time_point deadline,
                                         base::time_point now) const;
  std::int64_t FreeSlots(const std::string& upstream_id,
                         base::time_point now) const;

  void Acquire(const grant_key& key);
  void Release(const grant_key& key, base::time_point now);
  /// The request on the slot timed out. The slot stays in use here and the
  /// lender gets it back only by reclaiming it after the lease.
  void Abandon(const grant_key& key, base::time_point now);

  /// Marks up to `slots` free slots for return, least recently used first.
  void ReturnIdle(std::int64_t slots, base::time_point now);

  /// Returns up to `slots` slots to a lender that needs them itself: free ones
  /// now, the others when their requests end.
  void ReturnToLender(std::int64_t lender, std::int64_t slots);

  /// Ends every lease, so that all slots are returned as they become free.
  void EndLeases(base::time_point now);

  /// Adds the returns and renewals that are due for a lender to a message.
  void FillRequest(std::int64_t lender,
                   exchange_request& request,
                   base::time_point now) const;
  /// Lenders to which a return or a renewal is due.
  std::vector<std::int64_t> LendersDue(base::time_point now) const;
  /// The lender has processed a message.
  void RecordDelivery(std::int64_t lender, const exchange_request& request);

  /// Marks slots with ended leases for return, and forgets grants that the
  /// lender has reclaimed by now.
  void AdvanceTo(base::time_point now);

  std::int64_t borrowed() const;

 private:
  struct borrowed_grant {
    std::string upstream_id;
    std::int64_t slots = 0;
    std::int64_t in_use = 0;
    /// Slots returned by this entry, and how many of these returns the lender
    /// has acknowledged.
    std::int64_t returned = 0;
    std::int64_t acknowledged = 0;
    /// Slots in use that are returned when their requests end.
    std::int64_t recalled = 0;
    base::time_point lease_end;
    base::time_point last_used;
    bool renewal_disabled = false;

    std::int64_t FreeSlots() const { return slots - in_use - returned; }
  };

  bool NeedsRenewal(const borrowed_grant& grant, base::time_point now) const;

  /// Keys of the grants of one upstream. Most upstreams have none.
  const std::vector<grant_key>& KeysOf(const std::string& upstream_id) const;
  void RebuildIndex();

  const sharing_options options_;
  std::map<grant_key, borrowed_grant> grants_;
  std::map<std::string, std::vector<grant_key>> by_upstream_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_BORROWER_H_
