#ifndef CHIVECRANK_CALLERS_INTERNAL_CALLER_REQUEST_H_
#define CHIVECRANK_CALLERS_INTERNAL_CALLER_REQUEST_H_

#include "chivecrank/base/result.h"
#include "chivecrank/callers/types.h"
#include "chivecrank/configuration/types.h"

namespace chivecrank::callers::internal {

/// Parses a request to /v1/services/SERVICE/TARGET. Returns kNotFound for an
/// unknown service, kInvalidArgument for invalid headers.
base::result<caller_request> ParseServiceRequest(
    const http::request& message,
    const configuration::content& configured,
    const configuration::client_account& account,
    base::time_point now);

}  // namespace chivecrank::callers::internal

#endif  // CHIVECRANK_CALLERS_INTERNAL_CALLER_REQUEST_H_
