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
class kept_session;
}

/// Calls one server over a few kept connections. Safe to use from several
/// threads. A connection on which anything went wrong is never used again, nor
/// one that the server closed or sent something on while nothing was asked.
class client {
 public:
  explicit client(settings::endpoint address);
  ~client();

  /// Sends a request and reads the whole answer.
  /// kUnavailable: the request was certainly not sent in full.
  /// kOutcomeUnknown: it was sent, but no whole answer came within `timeout`.
  /// An answer whose length is not declared is not known to be whole.
  base::result<response> Call(const request& message,
                              std::chrono::milliseconds timeout);

  /// Posts a JSON object and parses the JSON answer. An answer other than
  /// 200 becomes the error it carries.
  base::result<json_object> PostJson(const std::string& target,
                                     const json_object& body,
                                     std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<internal::kept_session> Take();
  void Keep(std::unique_ptr<internal::kept_session> session);

  settings::endpoint address_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<internal::kept_session>> idle_;
};

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_CLIENT_H_
