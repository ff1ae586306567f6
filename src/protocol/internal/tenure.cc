#include "chivecrank/protocol/tenure.h"

namespace chivecrank::protocol {

void tenure::Extend(base::time_point valid_until) {
  valid_until_ = valid_until;
}

authority tenure::At(base::time_point now) const {
  const base::time_point valid_until = valid_until_;
  if (ended_ || valid_until == base::time_point{})
    return authority::kNone;
  if (now < valid_until && !lapsed_)
    return authority::kFull;
  // A new owner waits as long before it takes an unreachable worker's
  // attempts as over.
  return now < valid_until + ride_ ? authority::kRenewOnly : authority::kNone;
}

}  // namespace chivecrank::protocol
