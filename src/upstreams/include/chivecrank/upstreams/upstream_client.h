#ifndef CHIVECRANK_UPSTREAMS_UPSTREAM_CLIENT_H_
#define CHIVECRANK_UPSTREAMS_UPSTREAM_CLIENT_H_

#include <chrono>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"
#include "chivecrank/settings/types.h"

/// Requests to the services that upstreams run.
namespace chivecrank::upstreams {

/// Names the request to its upstream. An answer that has this header too is
/// taken only if it names the same request.
inline constexpr char kRequestIdHeader[] = "Chivecrank-Request-Id";

/// Sends requests to upstreams. Safe to use from several threads.
class upstream_client {
 public:
  virtual ~upstream_client() = default;

  /// Sends a request and returns the whole answer.
  /// kUnavailable: it certainly did not reach the upstream.
  /// kOutcomeUnknown: it may have run, but no whole answer came in time.
  virtual base::result<http::response> Send(
      const settings::endpoint& upstream,
      const http::request& message,
      std::chrono::milliseconds timeout) = 0;
};

}  // namespace chivecrank::upstreams

#endif  // CHIVECRANK_UPSTREAMS_UPSTREAM_CLIENT_H_
