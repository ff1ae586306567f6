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
          "try again later; nothing was sent"};
}

base::error Unknown(const settings::endpoint& address, std::string_view why) {
  return {base::error_kind::kOutcomeUnknown,
          settings::ToString(address) + ": " + std::string(why),
          "read back what was done before trying again"};
}

}  // namespace

struct http_caller::call {
  http::request message;
  answer_callback done;
  timer_id timeout = 0;
  bool ended = false;
  /// The connection that carries the call; unset while it waits.
  std::weak_ptr<channel> carrier;
};

class http_caller::channel {
 public:
  std::shared_ptr<internal::stream> connection;
  std::shared_ptr<call> current;
  base::time_point idle_since;
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
  for (const auto& kept : channels_) {
    if (kept->current)
      loop_.Cancel(kept->current->timeout);
    kept->connection->Close();
  }
  for (const auto& pending : waiting_)
    loop_.Cancel(pending->timeout);
}

void http_caller::Call(http::request message,
                       base::duration timeout,
                       answer_callback done) {
  auto made = std::make_shared<call>();
  made->message = std::move(message);
  made->done = std::move(done);
  if (waiting_.size() >= bounds_.waiting) {
    loop_.After(base::duration::zero(), [this, made, alive = alive_] {
      if (*alive)
        Finish(made, NotSent(address_, "too many calls wait"));
    });
    return;
  }
  made->timeout = loop_.After(timeout, [this, made] {
    const auto carrier = made->carrier.lock();
    const bool sent = carrier && carrier->connection->Connected();
    if (carrier)
      Discard(carrier);
    Finish(made, sent ? Unknown(address_, "no answer in time")
                      : NotSent(address_, "no connection in time"));
  });
  waiting_.push_back(std::move(made));
  Dispatch();
}

void http_caller::Dispatch() {
  while (!waiting_.empty()) {
    if (waiting_.front()->ended) {
      waiting_.pop_front();
      continue;
    }
    const auto used = TakeChannel();
    if (!used)
      return;
    auto started = std::move(waiting_.front());
    waiting_.pop_front();
    Start(used, std::move(started));
  }
}

void http_caller::Start(std::shared_ptr<channel> used,
                        std::shared_ptr<call> started) {
  started->carrier = used;
  used->current = started;
  used->connection->Send(internal::ToBytes(started->message, host_));
}

std::shared_ptr<http_caller::channel> http_caller::TakeChannel() {
  const base::time_point now = loop_.Now();
  const auto kept = channels_;
  for (const auto& candidate : kept) {
    if (candidate->current)
      continue;
    if (now - candidate->idle_since < bounds_.idle)
      return candidate;
    Discard(candidate);
  }
  if (channels_.size() >= bounds_.connections)
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
  auto made = std::make_shared<channel>();
  made->connection = std::make_shared<internal::stream>(loop_, socket);
  channels_.push_back(made);
  const std::weak_ptr<channel> weak = made;
  made->connection->Start(
      {.on_bytes =
           [this, weak](std::string& unread) {
             const auto self = weak.lock();
             if (!self)
               return;
             if (!self->current)
               return Discard(self);
             auto taken = internal::TakeResponse(
                 unread, {bounds_.head_bytes, bounds_.body_bytes});
             const auto ended = self->current;
             if (!taken) {
               Discard(self);
               return Finish(ended, Unknown(address_, "a malformed answer"));
             }
             if (!taken.value())
               return;
             self->current.reset();
             self->idle_since = loop_.Now();
             if (!taken.value()->keep_alive || !unread.empty())
               Discard(self);
             Finish(ended, std::move(taken.value()->message));
           },
       .on_closed =
           [this, weak] {
             const auto self = weak.lock();
             if (!self)
               return;
             const auto ended = self->current;
             const bool sent = self->connection->Connected();
             Discard(self);
             if (ended)
               Finish(ended, sent ? Unknown(address_, "connection broke")
                                  : NotSent(address_, "connection refused"));
           }},
      true);
  return made;
}

void http_caller::Finish(const std::shared_ptr<call>& ended,
                         base::result<http::response> answer) {
  if (ended->ended)
    return;
  ended->ended = true;
  loop_.Cancel(ended->timeout);
  const auto alive = alive_;
  ended->done(std::move(answer));
  if (*alive)
    Dispatch();
}

void http_caller::Discard(std::shared_ptr<channel> broken) {
  broken->current.reset();
  broken->connection->Close();
  std::erase(channels_, broken);
  // Released by the loop later: this may run inside one of its callbacks.
  loop_.After(base::duration::zero(), [kept = std::move(broken)] {});
}

}  // namespace chivecrank::reactor
