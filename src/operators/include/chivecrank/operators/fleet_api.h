#ifndef CHIVECRANK_OPERATORS_FLEET_API_H_
#define CHIVECRANK_OPERATORS_FLEET_API_H_

#include <functional>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/fleet.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/coordination/instance_list.h"
#include "chivecrank/http/json.h"
#include "chivecrank/instances/types.h"
#include "chivecrank/ownership/types.h"

namespace chivecrank::operators {

/// Functions that query the state of the running system.
struct fleet_sources {
  /// Returns all processes with their active revisions.
  std::function<std::vector<configuration::process_state>()> processes;
  std::function<base::result<std::vector<ownership::owner>>()> owners;
  /// Queries a scheduler for a job of an account.
  std::function<base::result<instances::job_report>(
      const instances::job_reference&)>
      describe_job;
};

/// Reports the state of the running system to operators. Safe to use from
/// several threads.
class fleet_api {
 public:
  fleet_api(coordination::instance_list& listed,
            const configuration::view& configured,
            fleet_sources sources);

  using answer = base::result<http::json_object>;

  /// Processes, each with its active revision.
  answer Instances() const;
  /// Workers with their failure domain, rack, capacity, state and whether they
  /// are drained.
  answer Workers() const;
  /// Teams with their quotas.
  answer Teams() const;
  /// Shards with their owners.
  answer Shards() const;
  /// Whether every process uses at least the given revision, and the processes
  /// that do not or that could not be reached.
  answer Status(configuration::revision number) const;
  /// A job of an account.
  answer Job(const instances::job_reference& reference) const;

  /// HTML page with the active revision, workers, shards and processes.
  std::string Page() const;

 private:
  coordination::instance_list& listed_;
  const configuration::view& configured_;
  const fleet_sources sources_;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_FLEET_API_H_
