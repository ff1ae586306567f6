#ifndef CHIVECRANK_SUBMISSIONS_PERMIT_SERVICE_H_
#define CHIVECRANK_SUBMISSIONS_PERMIT_SERVICE_H_

#include <functional>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/submissions/commands.h"

namespace chivecrank::submissions {

/// Decides on which workers the tasks of a step may start. The decision for a
/// step and a worker never changes; only the permits expire.
class permit_service {
 public:
  virtual ~permit_service() = default;

  /// Does not block. `done` runs once, later, on the caller's loop and gets a
  /// permit for each worker that may be used.
  virtual void RequestPermits(
      const permit_request& request,
      std::function<void(base::result<std::vector<start_permit>>)> done) = 0;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_PERMIT_SERVICE_H_
