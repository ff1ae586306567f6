#include "chivecrank/protocol/tenure.h"

namespace chivecrank::protocol {

void tenure::Extend(base::time_point valid_until) {
  valid_until_ = valid_until;
}

authority tenure::At(base::time_point now) const {
  const base::time_point valid_until = valid_until_;
  if (ended_ || valid_until == base::time_point{})
    return authority::kNone;
  return AuthorityAt(now, valid_until, lapsed_, ride_);
}

authority AuthorityAt(base::time_point now,
                      base::time_point valid_until,
                      bool lapsed,
                      std::chrono::milliseconds ride) {
  if (now < valid_until && !lapsed)
    return authority::kFull;
  // A new owner waits as long before it takes an unreachable worker's
  // attempts as over.
  return now < valid_until + ride ? authority::kRenewOnly : authority::kNone;
}

}  // namespace chivecrank::protocol
