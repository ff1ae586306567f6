#ifndef CHIVECRANK_CALLERS_ACCOUNT_DIRECTORY_H_
#define CHIVECRANK_CALLERS_ACCOUNT_DIRECTORY_H_

#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"

namespace chivecrank::callers {

/// Returns the client account whose token is in an Authorization header, or
/// kUnauthenticated if the token is missing or belongs to no account.
base::result<configuration::client_account> Authenticate(
    const configuration::content& configured,
    std::string_view authorization);

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_ACCOUNT_DIRECTORY_H_
