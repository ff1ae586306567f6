#ifndef CHIVECRANK_PROTOCOL_OWNERSHIP_LEASE_H_
#define CHIVECRANK_PROTOCOL_OWNERSHIP_LEASE_H_

#include <atomic>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/types.h"

namespace chivecrank::protocol {

/// Returns what an owner may do at `now`. The owner's lease in the store is
/// valid until `valid_until`, unless the store has reported it as `expired`.
/// The owner may renew worker leases until `outage_grace` after `valid_until`.
authority AuthorityAt(base::time_point now,
                      base::time_point valid_until,
                      bool expired,
                      std::chrono::milliseconds outage_grace);

/// A scheduler process's lease on its shards, from grant to release.
/// Thread-safe.
class ownership_lease {
 public:
  explicit ownership_lease(std::chrono::milliseconds outage_grace)
      : outage_grace_(outage_grace) {}

  /// Records that the lease in the store is valid at least until `valid_until`.
  void Extend(base::time_point valid_until);
  /// Records that the store has reported the lease as expired.
  void MarkExpired() { expired_ = true; }
  /// Ends the lease for good; the process gives up its shards.
  void Release() { released_ = true; }

  authority GetAuthority(base::time_point now) const;

 private:
  const std::chrono::milliseconds outage_grace_;
  std::atomic<base::time_point> valid_until_{base::time_point{}};
  std::atomic<bool> expired_ = false;
  std::atomic<bool> released_ = false;
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_OWNERSHIP_LEASE_H_
