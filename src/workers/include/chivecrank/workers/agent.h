#ifndef CHIVECRANK_WORKERS_AGENT_H_
#define CHIVECRANK_WORKERS_AGENT_H_

#include "chivecrank/base/result.h"
#include "chivecrank/settings/types.h"
#include "chivecrank/workers/types.h"

namespace chivecrank::workers {

/// Calls the agents of workers. Every call may fail with kFenced (the worker
/// has seen a higher epoch), kUnavailable (not sent) or kOutcomeUnknown.
/// Safe to use from several threads.
class agent {
 public:
  virtual ~agent() = default;

  /// Starting an attempt that the worker already knows has no effect.
  virtual base::result<void> Start(const settings::endpoint& worker,
                                   const start_command& command) = 0;
  /// Returns once the attempt has stopped or was never there.
  virtual base::result<void> Stop(const settings::endpoint& worker,
                                  const stop_command& command) = 0;
  /// Renews leases and returns what the worker knows.
  virtual base::result<inventory> Sync(const settings::endpoint& worker,
                                       const sync_command& command) = 0;
};

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_AGENT_H_
