#include "chivecrank/callers/account_directory.h"

#include "chivecrank/security/token.h"

namespace chivecrank::callers {

base::result<configuration::client_account> Authenticate(
    const configuration::content& configured,
    std::string_view authorization) {
  const std::string_view token = security::BearerToken(authorization);
  const std::string hash = security::HashToken(token);
  const configuration::client_account* matched = nullptr;
  // Compares the hash with every account, so that the response time does not
  // reveal which account matched.
  for (const configuration::client_account& account : configured.accounts) {
    if (security::EqualHashes(hash, account.token_hash))
      matched = &account;
  }
  if (!token.empty() && matched != nullptr)
    return *matched;
  return base::error{base::error_kind::kUnauthenticated,
                     "the client account's token is missing or unknown",
                     "send \"Authorization: Bearer TOKEN\""};
}

}  // namespace chivecrank::callers
