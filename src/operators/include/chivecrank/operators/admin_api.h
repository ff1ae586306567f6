#ifndef CHIVECRANK_OPERATORS_ADMIN_API_H_
#define CHIVECRANK_OPERATORS_ADMIN_API_H_

#include <functional>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/repository.h"
#include "chivecrank/http/json.h"
#include "chivecrank/operators/fleet_api.h"
#include "chivecrank/operators/operator_directory.h"

namespace chivecrank::operators {

/// Handles the requests of the administration API, which docs/openapi.yaml
/// describes.
class admin_api {
 public:
  /// Called with each revision that the store has just accepted, from the
  /// thread that handles the request.
  using accepted_hook = std::function<void(const configuration::snapshot&)>;

  admin_api(configuration::repository& accepted,
            const operator_directory& directory,
            const fleet_api& fleet,
            accepted_hook on_accepted);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  using answer = base::result<http::json_object>;
  struct route;

  answer Route(const http::request& message);
  answer GetConfiguration(const http::request& message);
  answer PostConfiguration(const http::request& message);
  answer GetHistory(const http::request& message);
  answer GetDifference(const http::request& message);
  answer PostRollback(const http::request& message);
  answer PostDrain(const http::request& message);
  answer GetInstances(const http::request& message);
  answer GetWorkers(const http::request& message);
  answer GetTeams(const http::request& message);
  answer GetShards(const http::request& message);
  answer GetStatus(const http::request& message);
  answer GetJob(const http::request& message);

  answer Accept(const configuration::proposal& change);
  base::result<operator_account> Authorize(const http::request& message,
                                           operator_role needed) const;

  configuration::repository& accepted_;
  const operator_directory& directory_;
  const fleet_api& fleet_;
  const accepted_hook on_accepted_;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_ADMIN_API_H_
