#ifndef CHIVECRANK_APPS_CHIVECRANKCTL_ADMIN_CLIENT_H_
#define CHIVECRANK_APPS_CHIVECRANKCTL_ADMIN_CLIENT_H_

#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/http/client.h"

namespace chivecrank::ctl {

/// Calls the administration API as one operator.
class admin_client {
 public:
  admin_client(settings::endpoint address, std::string token);

  /// The JSON answer of a GET, or the error that the API reports.
  base::result<http::json_object> Get(const std::string& target);
  /// The JSON answer of a POST, or the error that the API reports.
  base::result<http::json_object> Post(const std::string& target,
                                       const http::json_object& body);

 private:
  base::result<http::json_object> Call(http::request message);

  http::client client_;
  std::string token_;
};

}  // namespace chivecrank::ctl

#endif  // CHIVECRANK_APPS_CHIVECRANKCTL_ADMIN_CLIENT_H_
