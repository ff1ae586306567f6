#ifndef CHIVECRANK_SUBMISSIONS_WORKER_GATEWAY_H_
#define CHIVECRANK_SUBMISSIONS_WORKER_GATEWAY_H_

#include <chrono>
#include <cstdint>
#include <functional>

#include "chivecrank/base/result.h"
#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// What every order to a worker carries.
struct command_header {
  /// Grows with each owner of the shard; the worker ignores lower ones.
  std::int64_t fence = 0;
  /// How long everything on the worker may go on running from now; 0 leaves
  /// its lease as it is.
  std::chrono::milliseconds lease{0};
};

/// Renews a worker's lease and asks for its lists.
struct poll_request {
  command_header header;
  /// Ends up to this number are not listed again.
  std::int64_t acknowledged_end = 0;
  /// How long the worker may hold the answer until a run ends.
  std::chrono::milliseconds wait{0};
};

/// Orders to workers, without blocking. Each callback runs once, later, on the
/// caller's loop.
class worker_gateway {
 public:
  virtual ~worker_gateway() = default;

  /// kFenced: the worker follows a newer owner.
  virtual void Poll(const worker_description& worker,
                    const poll_request& request,
                    std::function<void(base::result<worker_report>)> done) = 0;
  virtual void Start(const worker_description& worker,
                     const start_command& command,
                     const command_header& terms,
                     std::function<void(start_outcome)> done) = 0;
  /// `done` gets whether the worker confirmed the order.
  virtual void Stop(const worker_description& worker,
                    const stop_command& command,
                    const command_header& terms,
                    std::function<void(bool)> done) = 0;
  virtual void Throttle(const worker_description& worker,
                        const throttle_command& command,
                        const command_header& terms,
                        std::function<void(bool)> done) = 0;
  /// Closes the connections to a worker that is gone.
  virtual void Disconnect(const std::string& worker) = 0;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_WORKER_GATEWAY_H_
