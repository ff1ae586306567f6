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

/// Gets the whole answer, or kUnavailable when the request was certainly not
/// sent, or kOutcomeUnknown when it may have been carried out.
using answer_callback = std::function<void(base::result<http::response>)>;

/// Bounds of the connections to one server.
struct caller_bounds {
  std::size_t connections = 2;
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  /// Calls that wait for a connection; more are rejected.
  std::size_t waiting = 4096;
  /// A connection that was idle for longer isn't used again.
  base::milliseconds idle{8000};
};

/// Calls one server over a few kept connections, one call at a time on each.
/// A connection on which anything went wrong is never used again, so a late
/// answer can't reach another call.
class http_caller {
 public:
  http_caller(event_loop& loop,
              settings::endpoint address,
              caller_bounds bounds);
  ~http_caller();
  http_caller(const http_caller&) = delete;
  http_caller& operator=(const http_caller&) = delete;

  /// Sends `message`; `done` is called once, within `timeout`, never from
  /// inside Call.
  void Call(http::request message,
            base::duration timeout,
            answer_callback done);

  const settings::endpoint& Address() const { return address_; }
  /// Connections that were opened so far.
  std::uint64_t Opened() const { return opened_; }

 private:
  class channel;
  struct call;

  void Dispatch();
  void Start(std::shared_ptr<channel> used, std::shared_ptr<call> started);
  std::shared_ptr<channel> TakeChannel();
  void Finish(const std::shared_ptr<call>& ended,
              base::result<http::response> answer);
  void Discard(std::shared_ptr<channel> broken);

  event_loop& loop_;
  settings::endpoint address_;
  std::string host_;
  caller_bounds bounds_;
  std::deque<std::shared_ptr<call>> waiting_;
  std::vector<std::shared_ptr<channel>> channels_;
  std::uint64_t opened_ = 0;
  /// Guards callbacks that outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace chivecrank::reactor

#endif  // CHIVECRANK_REACTOR_HTTP_CALLER_H_
