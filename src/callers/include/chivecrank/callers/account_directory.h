#ifndef CHIVECRANK_CALLERS_ACCOUNT_DIRECTORY_H_
#define CHIVECRANK_CALLERS_ACCOUNT_DIRECTORY_H_

#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"

namespace chivecrank::callers {

/// The client account of an Authorization header. kUnauthenticated when the
/// token is missing or of no account.
base::result<configuration::client_account> Authenticate(
    const configuration::content& configured,
    std::string_view authorization);

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_ACCOUNT_DIRECTORY_H_
