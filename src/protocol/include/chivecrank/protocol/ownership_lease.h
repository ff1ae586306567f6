#ifndef CHIVECRANK_PROTOCOL_OWNERSHIP_LEASE_H_
#define CHIVECRANK_PROTOCOL_OWNERSHIP_LEASE_H_

#include <atomic>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/types.h"

namespace chivecrank::protocol {

/// What an owner may do whose lease in the store lasts until `valid_until`, or
/// has `lapsed`, and who may go on for `outage_grace` without the store.
authority AuthorityAt(base::time_point now,
                      base::time_point valid_until,
                      bool lapsed,
                      std::chrono::milliseconds outage_grace);

/// One ownership lease of a process, from its grant to its end.
/// Safe to use from several threads.
class ownership_lease {
 public:
  explicit ownership_lease(std::chrono::milliseconds outage_grace)
      : outage_grace_(outage_grace) {}

  /// The lease in the store certainly lasts until then.
  void Extend(base::time_point valid_until);
  /// The store said that the lease has ended.
  void MarkExpired() { lapsed_ = true; }
  /// The shards are given up for good.
  void Release() { ended_ = true; }

  authority GetAuthority(base::time_point now) const;

 private:
  const std::chrono::milliseconds outage_grace_;
  std::atomic<base::time_point> valid_until_{base::time_point{}};
  std::atomic<bool> lapsed_ = false;
  std::atomic<bool> ended_ = false;
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_OWNERSHIP_LEASE_H_
