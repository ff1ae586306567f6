#include "chivecrank/protocol/ownership_lease.h"

namespace chivecrank::protocol {

void ownership_lease::Extend(base::time_point valid_until) {
  valid_until_ = valid_until;
}

authority ownership_lease::GetAuthority(base::time_point now) const {
  const base::time_point valid_until = valid_until_;
  if (ended_ || valid_until == base::time_point{})
    return authority::kNone;
  return AuthorityAt(now, valid_until, lapsed_, outage_grace_);
}

authority AuthorityAt(base::time_point now,
                      base::time_point valid_until,
                      bool lapsed,
                      std::chrono::milliseconds outage_grace) {
  if (now < valid_until && !lapsed)
    return authority::kFull;
  // A new owner waits as long before it takes an unreachable worker's
  // attempts as over.
  return now < valid_until + outage_grace ? authority::kRenewOnly
                                          : authority::kNone;
}

}  // namespace chivecrank::protocol
