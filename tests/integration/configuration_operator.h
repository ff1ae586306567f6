#ifndef CHIVECRANK_TESTS_INTEGRATION_CONFIGURATION_OPERATOR_H_
#define CHIVECRANK_TESTS_INTEGRATION_CONFIGURATION_OPERATOR_H_

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/http/client.h"
#include "chivecrank/http/json.h"

namespace chivecrank::harness {

/// An operator at the administration API of one instance.
class configuration_operator {
 public:
  configuration_operator(settings::endpoint admin, std::string name);

  base::result<http::json_object> Get(const std::string& target);
  base::result<http::json_object> Post(const std::string& target,
                                       const http::json_object& body);

  /// Adds a team to the newest configuration, again after conflicts and
  /// failures, until it is accepted or `limit` has passed. Every try of one
  /// proposal has the same write id. Returns its revision, or 0.
  std::int64_t AddTeam(const std::string& team, std::chrono::seconds limit);

  /// Comments of all accepted revisions, oldest first.
  std::vector<std::string> Comments();
  /// Names of the teams of a revision; of the newest for 0.
  std::set<std::string> Teams(std::int64_t revision);
  /// The lowest revision that a process of the fleet has in force; -1 when
  /// one did not answer.
  std::int64_t LowestInForce();

 private:
  base::result<http::json_object> Call(http::request message);

  http::client client_;
  std::string name_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_INTEGRATION_CONFIGURATION_OPERATOR_H_
