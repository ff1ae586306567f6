#ifndef CHIVECRANK_OPERATORS_ADMIN_API_H_
#define CHIVECRANK_OPERATORS_ADMIN_API_H_

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/repository.h"
#include "chivecrank/http/json.h"
#include "chivecrank/operators/operator_directory.h"

namespace chivecrank::operators {

/// Answers the requests of the administration API.
class admin_api {
 public:
  admin_api(configuration::repository& accepted,
            const operator_directory& directory);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  using answer = base::result<http::json_object>;

  answer Route(const http::request& message);
  answer GetConfiguration(const http::request& message);
  answer PostConfiguration(const http::request& message);
  answer GetHistory(const http::request& message);

  configuration::repository& accepted_;
  const operator_directory& directory_;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_ADMIN_API_H_
