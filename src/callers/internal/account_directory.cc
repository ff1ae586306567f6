#include "chivecrank/callers/account_directory.h"

#include "chivecrank/security/token.h"

namespace chivecrank::callers {

base::result<configuration::client_account> Authenticate(
    const configuration::content& configured,
    std::string_view authorization) {
  const std::string_view token = security::BearerToken(authorization);
  const std::string hash = security::HashToken(token);
  const configuration::client_account* found = nullptr;
  // Every account is compared, so the time tells nothing about the match.
  for (const configuration::client_account& account : configured.accounts) {
    if (security::EqualHashes(hash, account.token_hash))
      found = &account;
  }
  if (!token.empty() && found != nullptr)
    return *found;
  return base::error{base::error_kind::kUnauthenticated,
                     "the client account's token is missing or unknown",
                     "send \"Authorization: Bearer TOKEN\""};
}

}  // namespace chivecrank::callers
