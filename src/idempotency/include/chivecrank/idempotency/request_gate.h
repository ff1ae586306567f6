#ifndef CHIVECRANK_IDEMPOTENCY_REQUEST_GATE_H_
#define CHIVECRANK_IDEMPOTENCY_REQUEST_GATE_H_

#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

/// Admits non-idempotent requests at most once over all entries. Safe to use
/// from several threads.
class request_gate {
 public:
  virtual ~request_gate() = default;

  /// Decides about a request by `deadline`; never kPending. The token of the
  /// arrival is given by the gate.
  virtual decision Admit(arrival& request, base::time_point deadline) = 0;

  /// Tells how a request that was to run has ended. Returns at once.
  virtual void Finish(const log_entry& ended) = 0;

  /// What is known of a key. kUnavailable when its home is not reached.
  virtual base::result<key_report> Describe(const std::string& request_id,
                                            base::time_point deadline) = 0;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_REQUEST_GATE_H_
