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

namespace Poco::Net {
class HTTPClientSession;
}

namespace chivecrank::http {

/// Calls one server over a few kept connections. Safe to use from several
/// threads. A connection on which anything went wrong is never used again.
class client {
 public:
  explicit client(settings::endpoint address);
  ~client();

  /// Sends a request and reads the whole answer.
  /// kUnavailable: the request was certainly not sent in full.
  /// kOutcomeUnknown: it was sent, but no whole answer came within `timeout`.
  base::result<response> Call(const request& message,
                              std::chrono::milliseconds timeout);

  /// Posts a JSON object and parses the JSON answer. An answer other than
  /// 200 becomes the error it carries.
  base::result<json_object> PostJson(const std::string& target,
                                     const json_object& body,
                                     std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<Poco::Net::HTTPClientSession> Take();
  void Keep(std::unique_ptr<Poco::Net::HTTPClientSession> session);

  settings::endpoint address_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> idle_;
};

}  // namespace chivecrank::http

#endif  // CHIVECRANK_HTTP_CLIENT_H_
