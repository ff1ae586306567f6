#ifndef CHIVECRANK_SUBMISSIONS_WORKER_GATEWAY_H_
#define CHIVECRANK_SUBMISSIONS_WORKER_GATEWAY_H_

#include <chrono>
#include <cstdint>
#include <functional>

#include "chivecrank/base/result.h"
#include "chivecrank/submissions/commands.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// Sent with every command to a worker.
struct command_header {
  /// Increases with each owner of the shard; the worker rejects lower values.
  std::int64_t fence = 0;
  /// How long runs on the worker may continue from now; 0 leaves the lease
  /// unchanged.
  std::chrono::milliseconds lease{0};
  /// Start of the incarnation that gave the last report, in milliseconds since
  /// 1970; 0 if none has. The lease is reckoned by its clock.
  std::int64_t incarnation = 0;
};

/// Renews a worker's lease and asks for a report.
struct poll_request {
  command_header header;
  /// Ends up to this number are not reported again. The gateway acknowledges
  /// them, and gives the lease, only to the incarnation of the header.
  std::int64_t acknowledged_end = 0;
  /// How long the worker may delay the answer until a run ends.
  std::chrono::milliseconds wait{0};
};

/// Sends commands and polls to workers without blocking. Each callback runs
/// once, later, on the caller's loop.
class worker_gateway {
 public:
  virtual ~worker_gateway() = default;

  /// Fails with kFenced if the worker follows a newer owner, and with kNotFound
  /// if another worker answers at its address, so that this one has ended.
  virtual void Poll(const worker_description& worker,
                    const poll_request& request,
                    std::function<void(base::result<worker_report>)> done) = 0;
  virtual void Start(const worker_description& worker,
                     const start_command& command,
                     const command_header& header,
                     std::function<void(start_outcome)> done) = 0;
  /// `done` receives whether the worker confirmed the command.
  virtual void Stop(const worker_description& worker,
                    const stop_command& command,
                    const command_header& header,
                    std::function<void(bool)> done) = 0;
  virtual void Throttle(const worker_description& worker,
                        const throttle_command& command,
                        const command_header& header,
                        std::function<void(bool)> done) = 0;
  /// Closes the connections to a worker that no longer exists as it was, and
  /// ends the calls in progress: as not sent, or with an unknown outcome.
  virtual void Disconnect(const std::string& worker) = 0;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_WORKER_GATEWAY_H_
