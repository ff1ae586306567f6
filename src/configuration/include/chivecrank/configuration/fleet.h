#ifndef CHIVECRANK_CONFIGURATION_FLEET_H_
#define CHIVECRANK_CONFIGURATION_FLEET_H_

#include <vector>

#include "chivecrank/configuration/types.h"
#include "chivecrank/membership/transport.h"

namespace chivecrank::configuration {

/// A process of the system and its active revision.
struct process_state {
  membership::member process;
  /// Whether it answered the last query.
  bool reached = false;
  revision active_revision = 0;
};

/// Queries the active revision of each member, with several calls at a time.
/// Blocks until all have answered or failed.
std::vector<process_state> QueryProcesses(
    const std::vector<membership::member>& all,
    membership::transport& calls);

/// Whether every process answered and its active revision is at least `number`.
bool IsActiveEverywhere(const std::vector<process_state>& all, revision number);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_FLEET_H_
