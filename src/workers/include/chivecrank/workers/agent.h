#ifndef CHIVECRANK_WORKERS_AGENT_H_
#define CHIVECRANK_WORKERS_AGENT_H_

#include "chivecrank/base/result.h"
#include "chivecrank/settings/types.h"
#include "chivecrank/workers/types.h"

namespace chivecrank::workers {

/// Calls the agents of workers. A call may fail with kFenced (the worker has
/// seen a higher epoch), kConflict (it has seen a later sync), kUnavailable
/// (the call was not sent) or kOutcomeUnknown (it may have taken effect). Safe
/// to use from several threads.
class agent {
 public:
  virtual ~agent() = default;

  /// Sends a sync with commands to a worker and returns its report.
  virtual base::result<sync_report> Sync(const settings::endpoint& worker,
                                         const sync_command& command) = 0;
};

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_AGENT_H_
