#include "chivecrank/reactor/http_server.h"

#include <Poco/Exception.h>

#include <utility>

#include "internal/message_codec.h"
#include "internal/stream.h"

namespace chivecrank::reactor {

class http_server::connection
    : public std::enable_shared_from_this<http_server::connection> {
 public:
  connection(http_server& server,
             std::size_t id,
             const Poco::Net::StreamSocket& socket)
      : server_(server),
        id_(id),
        stream_(std::make_shared<internal::stream>(server.loop_, socket)) {}

  ~connection() {
    if (awaiting_answer_)
      --server_.in_flight_;
  }

  void Start() {
    stream_->Start({.on_bytes =
                        [this](std::string& unread) {
                          unread_ = &unread;
                          HandleNext();
                        },
                    .on_closed = [this] { server_.RemoveConnection(id_); }},
                   false);
  }

 private:
  /// Handles the next buffered request unless one is still unanswered.
  void HandleNext() {
    if (awaiting_answer_ || stream_->Closed() || unread_ == nullptr)
      return;
    auto parsed = internal::TakeRequest(
        *unread_, {server_.bounds_.head_bytes, server_.bounds_.body_bytes});
    if (!parsed)
      return RejectAndClose(parsed.error());
    if (!parsed.value())
      return;
    awaiting_answer_ = true;
    ++server_.in_flight_;
    keep_alive_ = parsed.value()->keep_alive;
    server_.handle_(std::move(parsed.value()->message),
                    [weak = weak_from_this()](const http::response& answer) {
                      if (const auto self = weak.lock())
                        self->Answer(answer);
                    });
  }

  void Answer(const http::response& answer) {
    if (!awaiting_answer_)
      return;
    awaiting_answer_ = false;
    --server_.in_flight_;
    const bool keep_alive = keep_alive_ && !server_.draining_;
    stream_->Send(internal::ToBytes(answer, keep_alive));
    if (!keep_alive)
      stream_->CloseAfterSending();
    if (stream_->Closed())
      return server_.RemoveConnection(id_);
    HandleNext();
  }

  void RejectAndClose(const base::error& failure) {
    http::response answer;
    answer.code = static_cast<int>(http::StatusOf(failure.kind));
    answer.body = failure.message;
    stream_->Send(internal::ToBytes(answer, false));
    stream_->CloseAfterSending();
    if (stream_->Closed())
      server_.RemoveConnection(id_);
  }

  http_server& server_;
  const std::size_t id_;
  std::shared_ptr<internal::stream> stream_;
  /// Buffer of unread bytes, owned by `stream_`.
  std::string* unread_ = nullptr;
  bool awaiting_answer_ = false;
  bool keep_alive_ = true;
};

http_server::http_server(event_loop& loop,
                         server_bounds bounds,
                         async_handler handle)
    : loop_(loop), bounds_(bounds), handle_(std::move(handle)) {}

http_server::~http_server() {
  connections_.clear();
  loop_.Remove(listener_);
}

base::result<void> http_server::Start(const settings::endpoint& address) {
  try {
    listener_.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    listener_.listen(bounds_.backlog);
    listener_.setBlocking(false);
  } catch (const Poco::Exception& failure) {
    return base::error{base::error_kind::kUnavailable,
                       settings::ToString(address) +
                           ": can't listen: " + failure.displayText(),
                       "free the port or configure another one"};
  }
  loop_.Add(listener_, Poco::Net::PollSet::POLL_READ,
            [this](int) { Accept(); });
  return base::Success();
}

void http_server::Drain() {
  draining_ = true;
}

void http_server::Accept() {
  try {
    Poco::Net::StreamSocket socket = listener_.acceptConnection();
    socket.setBlocking(false);
    socket.setNoDelay(true);
    const std::size_t id = ++last_connection_;
    const auto accepted = std::make_shared<connection>(*this, id, socket);
    connections_[id] = accepted;
    accepted->Start();
  } catch (const Poco::Exception&) {
    // The client closed the connection before it was accepted; later ones are
    // unaffected.
  }
}

void http_server::RemoveConnection(std::size_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  // The loop destroys the connection later, because this function may run
  // inside one of its callbacks.
  loop_.After(base::duration::zero(), [kept = found->second] {});
  connections_.erase(found);
}

}  // namespace chivecrank::reactor
