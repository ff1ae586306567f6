#ifndef CHIVECRANK_REACTOR_INTERNAL_STREAM_H_
#define CHIVECRANK_REACTOR_INTERNAL_STREAM_H_

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>

#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::reactor::internal {

/// Non-blocking TCP connection: buffers bytes that can't be sent yet and passes
/// received ones on.
class stream : public std::enable_shared_from_this<stream> {
 public:
  /// `on_bytes` receives the buffer of unread bytes and removes those that it
  /// consumed. `on_closed` is called once when the peer closed the connection
  /// or it failed, but not after Close().
  struct callbacks {
    std::function<void(std::string& unread)> on_bytes;
    std::function<void()> on_closed;
  };

  stream(event_loop& loop, const Poco::Net::StreamSocket& socket);
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  /// Starts to read. `connecting` is true for a socket whose connect has not
  /// completed yet.
  void Start(callbacks handlers, bool connecting);
  void Send(const std::string& bytes);
  /// Closes at once and discards unsent bytes.
  void Close();
  /// Closes when all buffered bytes were sent.
  void CloseAfterSending();
  bool Closed() const { return closed_; }
  /// Whether the connect has completed.
  bool Connected() const { return !connecting_; }

 private:
  void OnReady(int modes);
  void ReadAll();
  void Flush();
  void HandleDisconnect();

  event_loop& loop_;
  Poco::Net::StreamSocket socket_;
  callbacks callbacks_;
  std::string unread_;
  std::string unsent_;
  bool connecting_ = false;
  bool closed_ = false;
  bool close_after_sending_ = false;
  bool polls_writes_ = false;
};

}  // namespace chivecrank::reactor::internal

#endif  // CHIVECRANK_REACTOR_INTERNAL_STREAM_H_
