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
  const operator_account* found = nullptr;
  // Every account is compared, so the time tells nothing about the match.
  for (const operator_account& account : accounts_) {
    if (security::EqualHashes(hash, account.token_hash))
      found = &account;
  }
  if (token.empty() || found == nullptr) {
    return base::error{base::error_kind::kUnauthenticated,
                       "the operator's token is missing or unknown",
                       "send \"Authorization: Bearer TOKEN\""};
  }
  if (found->role < needed) {
    return base::error{base::error_kind::kPermissionDenied,
                       "operator " + found->name + " has the role " +
                           std::string(OperatorRoleName(found->role)),
                       "ask an operator with the role " +
                           std::string(OperatorRoleName(needed))};
  }
  return *found;
}

}  // namespace chivecrank::operators
