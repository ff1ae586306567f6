#include "chivecrank/operators/operator_directory.h"

#include <utility>

#include "chivecrank/security/token.h"

namespace chivecrank::operators {

operator_directory::operator_directory(std::vector<operator_account> accounts)
    : accounts_(std::move(accounts)) {}

base::result<operator_account> operator_directory::Authorize(
    std::string_view authorization,
    operator_role needed) const {
  const std::string_view token = security::BearerToken(authorization);
  const std::string hash = security::HashToken(token);
  const operator_account* matched = nullptr;
  // Compares the hash with every account, so that the response time does not
  // reveal which account matched.
  for (const operator_account& account : accounts_) {
    if (security::EqualHashes(hash, account.token_hash))
      matched = &account;
  }
  if (token.empty() || matched == nullptr) {
    return base::error{base::error_kind::kUnauthenticated,
                       "the operator's token is missing or unknown",
                       "send \"Authorization: Bearer TOKEN\""};
  }
  if (matched->role < needed) {
    return base::error{base::error_kind::kPermissionDenied,
                       "operator " + matched->name + " has the role " +
                           std::string(OperatorRoleName(matched->role)),
                       "ask an operator with the role " +
                           std::string(OperatorRoleName(needed))};
  }
  return *matched;
}

}  // namespace chivecrank::operators
