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

/// The slots that other entries lent to this one. Each lease counts from the
/// moment its request was sent, so it ends here before it ends at the lender.
class slot_borrower {
 public:
  explicit slot_borrower(const sharing_options& options);

  /// Takes over what a lender granted on a message sent at `sent`.
  void Add(std::int64_t lender, const slot_grant& grant, base::time_point sent);
  /// The lender renewed a grant on a message sent at `sent`.
  void Renewed(const grant_key& key, base::time_point sent);

  /// A grant of an upstream with a free slot for a request.
  std::optional<grant_key> FindFree(const std::string& upstream_id,
                                    base::time_point deadline,
                                    base::time_point now) const;
  /// Free slots of an upstream.
  std::int64_t Free(const std::string& upstream_id, base::time_point now) const;

  void Take(const grant_key& key);
  void GiveBack(const grant_key& key, base::time_point now);
  /// The slot's request was given up on; only time returns it.
  void Abandon(const grant_key& key, base::time_point now);

  /// Marks up to `slots` free slots for return, those unused longest first.
  void Shrink(std::int64_t slots, base::time_point now);

  /// Returns up to `slots` slots of a lender that needs them itself: the free
  /// ones now, the others as their requests end.
  void Recall(std::int64_t lender, std::int64_t slots);

  /// Ends every lease, so that all slots go back as they fall free.
  void EndAll(base::time_point now);

  /// Adds the returns and renewals that are due for a lender.
  void Fill(std::int64_t lender,
            exchange_request& request,
            base::time_point now) const;
  /// Lenders that a return or a renewal is due for.
  std::vector<std::int64_t> Due(base::time_point now) const;
  /// The lender has read a message.
  void Confirm(std::int64_t lender, const exchange_request& request);

  /// Forgets grants whose lease has passed for the lender, too.
  void Advance(base::time_point now);

  std::int64_t borrowed() const;

 private:
  struct borrowed_grant {
    std::string upstream_id;
    std::int64_t slots = 0;
    std::int64_t in_use = 0;
    /// Given back here, and what the lender is known to have read of it.
    std::int64_t returned = 0;
    std::int64_t confirmed = 0;
    /// Slots in use that go back once their requests have ended.
    std::int64_t recalled = 0;
    base::time_point use_until;
    base::time_point last_used;
    /// Not to be renewed.
    bool ending = false;

    std::int64_t Free() const { return slots - in_use - returned; }
  };

  bool WantsRenewal(const borrowed_grant& grant, base::time_point now) const;

  /// The grants of one upstream; nothing is kept for most.
  const std::vector<grant_key>& KeysOf(const std::string& upstream_id) const;
  void RebuildIndex();

  const sharing_options options_;
  std::map<grant_key, borrowed_grant> grants_;
  std::map<std::string, std::vector<grant_key>> by_upstream_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_BORROWER_H_
