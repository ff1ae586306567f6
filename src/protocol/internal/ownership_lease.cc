#include "chivecrank/protocol/ownership_lease.h"

namespace chivecrank::protocol {

void ownership_lease::Extend(base::time_point valid_until) {
  valid_until_ = valid_until;
}

authority ownership_lease::GetAuthority(base::time_point now) const {
  const base::time_point valid_until = valid_until_;
  if (released_ || valid_until == base::time_point{})
    return authority::kNone;
  return AuthorityAt(now, valid_until, expired_, outage_grace_);
}

authority AuthorityAt(base::time_point now,
                      base::time_point valid_until,
                      bool expired,
                      std::chrono::milliseconds outage_grace) {
  if (now < valid_until && !expired)
    return authority::kFull;
  // A new owner waits for the same time before it treats the attempts on an
  // unreachable worker as ended.
  return now < valid_until + outage_grace ? authority::kRenewOnly
                                          : authority::kNone;
}

}  // namespace chivecrank::protocol
