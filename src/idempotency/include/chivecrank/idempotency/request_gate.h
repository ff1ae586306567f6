#ifndef CHIVECRANK_IDEMPOTENCY_REQUEST_GATE_H_
#define CHIVECRANK_IDEMPOTENCY_REQUEST_GATE_H_

#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

/// Admits each non-idempotent request at most once across all entries.
/// Thread-safe.
class request_gate {
 public:
  virtual ~request_gate() = default;

  /// Decides about a request by `deadline`; never returns kPending. Sets the
  /// token of the arrival.
  virtual decision Admit(arrival& request, base::time_point deadline) = 0;

  /// Reports the outcome of a request that was to run. Returns at once and
  /// delivers the outcome in the background if necessary.
  virtual void Finish(const log_entry& outcome) = 0;

  /// Reports the state of a key. kUnavailable if its home can't be reached.
  virtual base::result<key_report> Describe(const std::string& request_id,
                                            base::time_point deadline) = 0;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_REQUEST_GATE_H_
