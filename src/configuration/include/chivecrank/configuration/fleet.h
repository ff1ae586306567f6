#ifndef CHIVECRANK_CONFIGURATION_FLEET_H_
#define CHIVECRANK_CONFIGURATION_FLEET_H_

#include <vector>

#include "chivecrank/configuration/types.h"
#include "chivecrank/membership/transport.h"

namespace chivecrank::configuration {

/// A process of the system with the revision that it has in force.
struct process_state {
  membership::member process;
  /// Whether it answered just now.
  bool reached = false;
  revision active_revision = 0;
};

/// Asks each member which revision it has in force, several at a time.
std::vector<process_state> AskAll(const std::vector<membership::member>& all,
                                  membership::transport& calls);

/// Whether every process has at least revision `number` in force.
bool IsActiveEverywhere(const std::vector<process_state>& all, revision number);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_FLEET_H_
