#include "internal/stream.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <utility>

namespace chivecrank::reactor::internal {
namespace {

constexpr int kReadBytes = 16 * 1024;
constexpr int kReadModes =
    Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR;
constexpr int kAllModes = kReadModes | Poco::Net::PollSet::POLL_WRITE;

/// POCO reports by an exception that a non-blocking socket is not ready.
bool WouldBlock(const Poco::Exception& failure) {
  return failure.code() == EAGAIN || failure.code() == EWOULDBLOCK;
}

}  // namespace

stream::stream(event_loop& loop, const Poco::Net::StreamSocket& socket)
    : loop_(loop), socket_(socket) {}

stream::~stream() {
  Close();
}

void stream::Start(callbacks handlers, bool connecting) {
  callbacks_ = std::move(handlers);
  connecting_ = connecting;
  polls_writes_ = connecting;
  loop_.Add(socket_, connecting ? kAllModes : kReadModes,
            [weak = weak_from_this()](int modes) {
              if (const auto self = weak.lock())
                self->OnReady(modes);
            });
}

void stream::Send(const std::string& bytes) {
  if (closed_)
    return;
  unsent_ += bytes;
  if (!connecting_)
    Flush();
}

void stream::Close() {
  if (closed_)
    return;
  closed_ = true;
  loop_.Remove(socket_);
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // The descriptor is released even if closing fails.
  }
}

void stream::CloseAfterSending() {
  close_after_sending_ = true;
  if (unsent_.empty())
    Close();
}

void stream::OnReady(int modes) {
  const auto self = shared_from_this();
  if (connecting_) {
    if (socket_.impl()->socketError() != 0)
      return HandleDisconnect();
    connecting_ = false;
  }
  if ((modes & Poco::Net::PollSet::POLL_WRITE) != 0 || polls_writes_)
    Flush();
  if (closed_)
    return;
  if ((modes & kReadModes) != 0)
    ReadAll();
}

void stream::ReadAll() {
  char bytes[kReadBytes];
  bool disconnected = false;
  try {
    while (true) {
      const int count = socket_.receiveBytes(bytes, kReadBytes);
      disconnected = count == 0;
      if (count > 0)
        unread_.append(bytes, static_cast<std::size_t>(count));
      if (count < kReadBytes)
        break;
    }
  } catch (const Poco::Exception& failure) {
    disconnected = !WouldBlock(failure);
  }
  if (!unread_.empty())
    callbacks_.on_bytes(unread_);
  if (disconnected && !closed_)
    HandleDisconnect();
}

void stream::Flush() {
  try {
    while (!unsent_.empty()) {
      const int count =
          socket_.sendBytes(unsent_.data(), static_cast<int>(unsent_.size()));
      if (count <= 0)
        break;
      unsent_.erase(0, static_cast<std::size_t>(count));
    }
  } catch (const Poco::Exception& failure) {
    if (!WouldBlock(failure))
      return HandleDisconnect();
  }
  if (unsent_.empty() && close_after_sending_)
    return Close();
  const bool needs_write_polling = !unsent_.empty();
  if (needs_write_polling == polls_writes_)
    return;
  polls_writes_ = needs_write_polling;
  loop_.SetModes(socket_, needs_write_polling ? kAllModes : kReadModes);
}

void stream::HandleDisconnect() {
  if (closed_)
    return;
  Close();
  // Copied, because the owner may destroy the stream within the call.
  const auto on_closed = callbacks_.on_closed;
  if (on_closed)
    on_closed();
}

}  // namespace chivecrank::reactor::internal
