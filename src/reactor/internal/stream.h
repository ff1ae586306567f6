#ifndef CHIVECRANK_REACTOR_INTERNAL_STREAM_H_
#define CHIVECRANK_REACTOR_INTERNAL_STREAM_H_

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>

#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::reactor::internal {

/// A connection without blocking: buffers what can't be sent yet and hands on
/// what arrives.
class stream : public std::enable_shared_from_this<stream> {
 public:
  /// `on_bytes` gets the buffer of unread bytes and takes off what it used.
  /// `on_closed` is called once when the peer closed or the connection broke;
  /// not after Close.
  struct hooks {
    std::function<void(std::string& unread)> on_bytes;
    std::function<void()> on_closed;
  };

  stream(event_loop& loop, const Poco::Net::StreamSocket& socket);
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  /// Starts to read. `connecting` is true for a socket whose connect is
  /// still under way.
  void Start(hooks handlers, bool connecting);
  void Send(const std::string& bytes);
  /// Closes at once; buffered bytes are dropped.
  void Close();
  /// Closes when everything was sent.
  void CloseAfterSending();
  bool Closed() const { return closed_; }
  /// Whether the connect has completed.
  bool Connected() const { return !connecting_; }

 private:
  void OnReady(int modes);
  void ReadAll();
  void Flush();
  void Broken();

  event_loop& loop_;
  Poco::Net::StreamSocket socket_;
  hooks hooks_;
  std::string unread_;
  std::string unsent_;
  bool connecting_ = false;
  bool closed_ = false;
  bool close_after_sending_ = false;
  bool polls_writes_ = false;
};

}  // namespace chivecrank::reactor::internal

#endif  // CHIVECRANK_REACTOR_INTERNAL_STREAM_H_
