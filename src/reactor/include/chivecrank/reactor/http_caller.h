#ifndef CHIVECRANK_REACTOR_HTTP_CALLER_H_
#define CHIVECRANK_REACTOR_HTTP_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/http/types.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::reactor {

/// Receives the complete answer, kUnavailable when the request was certainly
/// not sent, or kOutcomeUnknown when the server may have processed it.
using answer_callback = std::function<void(base::result<http::response>)>;

/// Makes the request when a connection has been assigned to the call; called at
/// most once.
/// `same_server`: the connection has carried an answer before, so that no other
/// server process than that one can get the request.
using request_maker = std::function<http::request(bool same_server)>;

/// Limits of the connections to one server. The sizes bound its answers.
struct caller_bounds {
  std::size_t connections = 2;
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  /// Calls that may wait for a connection; further ones fail.
  std::size_t waiting = 4096;
  /// A connection that was idle for longer is closed instead of reused.
  base::milliseconds idle{8000};
};

/// Non-blocking HTTP client of one server with a pool of persistent
/// connections, each of which carries one call at a time. A connection is
/// closed after any failure, so a late answer can't be taken for the answer to
/// another call.
class http_caller {
 public:
  http_caller(event_loop& loop,
              settings::endpoint address,
              caller_bounds bounds);
  ~http_caller();
  http_caller(const http_caller&) = delete;
  http_caller& operator=(const http_caller&) = delete;

  /// Sends `message`. `done` is called once, within `timeout`, and never before
  /// Call returns.
  void Call(http::request message,
            base::duration timeout,
            answer_callback done);
  /// The same for a request that depends on which server process can get it.
  void Call(request_maker make, base::duration timeout, answer_callback done);

  /// Closes all connections and ends the calls in progress: with
  /// kOutcomeUnknown if they were sent, with kUnavailable otherwise. Their
  /// callbacks run later, also if the caller has been destroyed by then.
  void Abandon();

  const settings::endpoint& Address() const { return address_; }
  /// Connections opened since construction.
  std::uint64_t Opened() const { return opened_; }

 private:
  class pooled_connection;
  struct call;

  void Dispatch();
  /// Ends a call later, if nothing else has ended it by then.
  void EndLater(std::shared_ptr<call> ended, base::error outcome);
  void Start(std::shared_ptr<pooled_connection> connection,
             std::shared_ptr<call> next);
  std::shared_ptr<pooled_connection> AcquireConnection();
  void Finish(const std::shared_ptr<call>& finished,
              base::result<http::response> answer);
  void Discard(std::shared_ptr<pooled_connection> broken);

  event_loop& loop_;
  settings::endpoint address_;
  std::string host_;
  caller_bounds bounds_;
  std::deque<std::shared_ptr<call>> waiting_;
  std::vector<std::shared_ptr<pooled_connection>> connections_;
  std::uint64_t opened_ = 0;
  /// False after destruction; checked by callbacks that may run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace chivecrank::reactor

#endif  // CHIVECRANK_REACTOR_HTTP_CALLER_H_
