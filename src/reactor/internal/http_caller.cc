#include "chivecrank/reactor/http_caller.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

#include "internal/message_codec.h"
#include "internal/stream.h"

namespace chivecrank::reactor {
namespace {

base::error NotSent(const settings::endpoint& address, std::string_view why) {
  return {base::error_kind::kUnavailable,
          settings::ToString(address) + ": " + std::string(why),
          "retry later; nothing was sent"};
}

base::error Unknown(const settings::endpoint& address, std::string_view why) {
  return {base::error_kind::kOutcomeUnknown,
          settings::ToString(address) + ": " + std::string(why),
          "read the state back before repeating the request"};
}

}  // namespace

struct http_caller::call {
  request_maker make;
  answer_callback done;
  timer_id timeout = 0;
  bool completed = false;
  /// Connection on which the call was sent; unset while the call is queued.
  std::weak_ptr<pooled_connection> connection;
};

class http_caller::pooled_connection {
 public:
  std::shared_ptr<internal::stream> stream;
  std::shared_ptr<call> current;
  base::time_point idle_since;
  /// It has carried an answer.
  bool answered = false;
};

http_caller::http_caller(event_loop& loop,
                         settings::endpoint address,
                         caller_bounds bounds)
    : loop_(loop),
      address_(std::move(address)),
      host_(settings::ToString(address_)),
      bounds_(bounds) {}

http_caller::~http_caller() {
  *alive_ = false;
  for (const auto& kept : connections_) {
    if (kept->current)
      loop_.Cancel(kept->current->timeout);
    kept->stream->Close();
  }
  for (const auto& pending : waiting_)
    loop_.Cancel(pending->timeout);
}

void http_caller::Call(http::request message,
                       base::duration timeout,
                       answer_callback done) {
  Call([message =
            std::move(message)](bool) mutable { return std::move(message); },
       timeout, std::move(done));
}

void http_caller::Call(request_maker make,
                       base::duration timeout,
                       answer_callback done) {
  auto new_call = std::make_shared<call>();
  new_call->make = std::move(make);
  new_call->done = std::move(done);
  if (waiting_.size() >= bounds_.waiting) {
    loop_.After(base::duration::zero(), [this, new_call, alive = alive_] {
      if (*alive)
        Finish(new_call, NotSent(address_, "too many calls are queued"));
    });
    return;
  }
  new_call->timeout = loop_.After(timeout, [this, new_call] {
    const auto connection = new_call->connection.lock();
    const bool sent = connection && connection->stream->Connected();
    if (connection)
      Discard(connection);
    Finish(new_call,
           sent ? Unknown(address_, "no answer within the timeout")
                : NotSent(address_, "no connection within the timeout"));
  });
  waiting_.push_back(std::move(new_call));
  Dispatch();
}

void http_caller::Abandon() {
  for (const auto& abandoned : std::exchange(connections_, {})) {
    const bool sent = abandoned->stream->Connected();
    if (const auto current = abandoned->current)
      EndLater(current, sent ? Unknown(address_, "the connection was given up")
                             : NotSent(address_, "the call was given up"));
    Discard(abandoned);
  }
  for (auto& abandoned : std::exchange(waiting_, {}))
    EndLater(std::move(abandoned), NotSent(address_, "the call was given up"));
}

void http_caller::EndLater(std::shared_ptr<call> ended, base::error outcome) {
  loop_.Cancel(ended->timeout);
  loop_.After(base::duration::zero(),
              [ended = std::move(ended), outcome = std::move(outcome)] {
                if (!std::exchange(ended->completed, true))
                  ended->done(outcome);
              });
}

void http_caller::Dispatch() {
  while (!waiting_.empty()) {
    if (waiting_.front()->completed) {
      waiting_.pop_front();
      continue;
    }
    const auto connection = AcquireConnection();
    if (!connection)
      return;
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    Start(connection, std::move(next));
  }
}

void http_caller::Start(std::shared_ptr<pooled_connection> connection,
                        std::shared_ptr<call> next) {
  next->connection = connection;
  connection->current = next;
  connection->stream->Send(
      internal::ToBytes(next->make(connection->answered), host_));
}

std::shared_ptr<http_caller::pooled_connection>
http_caller::AcquireConnection() {
  const base::time_point now = loop_.Now();
  const auto kept = connections_;
  for (const auto& candidate : kept) {
    if (candidate->current)
      continue;
    if (now - candidate->idle_since < bounds_.idle)
      return candidate;
    Discard(candidate);
  }
  if (connections_.size() >= bounds_.connections)
    return nullptr;
  Poco::Net::StreamSocket socket;
  try {
    socket.connectNB(Poco::Net::SocketAddress(address_.host, address_.port));
    socket.setBlocking(false);
    socket.setNoDelay(true);
  } catch (const Poco::Exception&) {
    return nullptr;
  }
  ++opened_;
  auto created = std::make_shared<pooled_connection>();
  created->stream = std::make_shared<internal::stream>(loop_, socket);
  connections_.push_back(created);
  const std::weak_ptr<pooled_connection> weak = created;
  created->stream->Start(
      {.on_bytes =
           [this, weak](std::string& unread) {
             const auto self = weak.lock();
             if (!self)
               return;
             if (!self->current)
               return Discard(self);
             auto parsed = internal::TakeResponse(
                 unread, {bounds_.head_bytes, bounds_.body_bytes});
             const auto finished = self->current;
             if (!parsed) {
               Discard(self);
               return Finish(finished, Unknown(address_, "malformed answer"));
             }
             if (!parsed.value())
               return;
             self->current.reset();
             self->idle_since = loop_.Now();
             self->answered = true;
             if (!parsed.value()->keep_alive || !unread.empty())
               Discard(self);
             Finish(finished, std::move(parsed.value()->message));
           },
       .on_closed =
           [this, weak] {
             const auto self = weak.lock();
             if (!self)
               return;
             const auto finished = self->current;
             const bool sent = self->stream->Connected();
             Discard(self);
             if (finished)
               Finish(finished,
                      sent ? Unknown(address_,
                                     "connection closed before the answer")
                           : NotSent(address_, "connection refused"));
           }},
      true);
  return created;
}

void http_caller::Finish(const std::shared_ptr<call>& finished,
                         base::result<http::response> answer) {
  if (finished->completed)
    return;
  finished->completed = true;
  loop_.Cancel(finished->timeout);
  const auto alive = alive_;
  finished->done(std::move(answer));
  if (*alive)
    Dispatch();
}

void http_caller::Discard(std::shared_ptr<pooled_connection> broken) {
  broken->current.reset();
  broken->stream->Close();
  std::erase(connections_, broken);
  // The loop destroys the connection later, because this function may run
  // inside one of its callbacks.
  loop_.After(base::duration::zero(), [kept = std::move(broken)] {});
}

}  // namespace chivecrank::reactor
