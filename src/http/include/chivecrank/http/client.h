#ifndef CHIVECRANK_HTTP_CLIENT_H_
#define CHIVECRANK_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/http/json.h"
#include "chivecrank/http/types.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::http {

namespace internal {
class pooled_session;
}

/// Blocking HTTP client of one server with a pool of persistent connections.
/// Thread-safe. A connection isn't reused after any failure, nor after the
/// server closed it or sent bytes on it while no request was pending.
class client {
 public:
  explicit client(settings::endpoint address);
  ~client();

  /// Sends a request and reads the complete answer.
  /// kUnavailable: the request was certainly not sent completely.
  /// kOutcomeUnknown: it may have been sent, but no complete answer arrived
  /// within `timeout`. That includes answers without a Content-Length, because
  /// their completeness can't be checked.
  base::result<response> Call(const request& message,
                              std::chrono::milliseconds timeout);

  /// Posts a JSON object and parses the JSON answer. An answer with a status
  /// other than 200 becomes the error in its body, see ErrorOf().
  base::result<json_object> PostJson(const std::string& target,
                                     const json_object& body,
                                     std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<internal::pooled_session> AcquireSession();
  void ReleaseSession(std::unique_ptr<internal::pooled_session> session);

  settings::endpoint address_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<internal::pooled_session>> idle_;
};

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_CLIENT_H_
