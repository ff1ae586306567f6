#ifndef CHIVECRANK_UPSTREAMS_UPSTREAM_CLIENT_H_
#define CHIVECRANK_UPSTREAMS_UPSTREAM_CLIENT_H_

#include <chrono>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"
#include "chivecrank/settings/types.h"

/// Client for the services that upstreams run.
namespace chivecrank::upstreams {

/// Identifies the request to its upstream. An answer that also has this header
/// is accepted only if the values are equal.
inline constexpr char kRequestIdHeader[] = "Chivecrank-Request-Id";

/// Sends requests to upstreams. Safe to use from several threads.
class upstream_client {
 public:
  virtual ~upstream_client() = default;

  /// Sends a request and returns the complete answer. Errors:
  /// kUnavailable: the request certainly did not reach the upstream.
  /// kOutcomeUnknown: the request may have run, but no complete answer arrived
  /// within `timeout`, or the answer was for another request.
  virtual base::result<http::response> Send(
      const settings::endpoint& upstream,
      const http::request& message,
      std::chrono::milliseconds timeout) = 0;
};

}  // namespace chivecrank::upstreams

#endif  // CHIVECRANK_UPSTREAMS_UPSTREAM_CLIENT_H_
