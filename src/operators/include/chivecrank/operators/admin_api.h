#ifndef CHIVECRANK_OPERATORS_ADMIN_API_H_
#define CHIVECRANK_OPERATORS_ADMIN_API_H_

#include <functional>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/fleet.h"
#include "chivecrank/configuration/repository.h"
#include "chivecrank/http/json.h"
#include "chivecrank/operators/operator_directory.h"

namespace chivecrank::operators {

/// What the API does beyond the store.
struct fleet_hooks {
  /// Takes a revision that the store has just accepted.
  std::function<void(const configuration::snapshot&)> on_accepted;
  /// All processes with the revisions that they have in force.
  std::function<std::vector<configuration::process_state>()> fleet;
};

/// Answers the requests of the administration API.
class admin_api {
 public:
  admin_api(configuration::repository& accepted,
            const operator_directory& directory,
            fleet_hooks fleet);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  using answer = base::result<http::json_object>;

  answer Route(const http::request& message);
  answer GetConfiguration(const http::request& message);
  answer PostConfiguration(const http::request& message);
  answer GetHistory(const http::request& message);
  answer GetInstances(const http::request& message);

  configuration::repository& accepted_;
  const operator_directory& directory_;
  const fleet_hooks fleet_;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_ADMIN_API_H_
