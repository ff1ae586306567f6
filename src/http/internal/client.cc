#include "chivecrank/http/client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <utility>

#include "internal/body_reader.h"

namespace chivecrank::http {

namespace net = Poco::Net;

namespace internal {

/// A persistent connection that can check whether it is usable for a request.
class pooled_session final : public net::HTTPClientSession {
 public:
  using net::HTTPClientSession::HTTPClientSession;

  /// Limits each send and receive of the next call to `timeout`. POCO applies
  /// setTimeout() only when it connects, so a reused connection would keep the
  /// timeout of an earlier call.
  void SetWaitTimeout(std::chrono::milliseconds timeout) {
    const Poco::Timespan bound(timeout.count() * Poco::Timespan::MILLISECONDS);
    setTimeout(bound);
    if (!connected())
      return;
    socket().setSendTimeout(bound);
    socket().setReceiveTimeout(bound);
  }

  /// False when there is anything to read: as no request is pending, that is
  /// the end of the connection, or bytes that don't answer the next request.
  bool IsUsable() {
    try {
      return connected() && buffered() == 0 &&
             !socket().poll(Poco::Timespan(0), net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
      return false;
    }
  }
};

}  // namespace internal

namespace {

constexpr std::size_t kMaxIdleConnections = 4;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::size_t kMaxAnswerBytes = std::size_t{8} << 20;

void Write(net::HTTPClientSession& session, const request& message) {
  net::HTTPRequest out(message.method, message.target,
                       net::HTTPMessage::HTTP_1_1);
  for (const header& field : message.headers)
    out.set(field.name, field.value);
  out.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
  out.setKeepAlive(true);
  std::ostream& stream = session.sendRequest(out);
  stream.write(message.body.data(),
               static_cast<std::streamsize>(message.body.size()));
  stream.flush();
}

base::result<response> Read(net::HTTPClientSession& session,
                            std::chrono::steady_clock::time_point deadline,
                            const std::string& method,
                            bool& reusable) {
  net::HTTPResponse in;
  std::istream& stream = session.receiveResponse(in);
  const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(
      deadline - std::chrono::steady_clock::now());
  if (remaining.count() <= 0) {
    return base::error{base::error_kind::kTimeout,
                       "no complete answer within the timeout",
                       "use a longer timeout"};
  }
  session.socket().setReceiveTimeout(Poco::Timespan(remaining.count()));
  const bool has_body = method != "HEAD" && in.getStatus() != kNoContent &&
                        in.getStatus() != kNotModified;
  if (has_body && !in.hasContentLength()) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the answer has no Content-Length",
                       "make the server send a Content-Length"};
  }
  const internal::body_limits limits{kMaxAnswerBytes, deadline,
                                     has_body ? in.getContentLength64() : -1};
  BOOST_OUTCOME_TRY(body, internal::ReadBody(stream, limits));
  reusable = in.getKeepAlive();
  response answer{in.getStatus(), {}, std::move(body)};
  for (const auto& [name, value] : in)
    answer.headers.push_back({name, value});
  return answer;
}

base::error NotSent(const settings::endpoint& address,
                    const std::string& detail) {
  return {base::error_kind::kUnavailable,
          "can't reach " + settings::ToString(address) + ": " + detail,
          "check that it runs and is reachable, then retry"};
}

base::error OutcomeUnknown(const settings::endpoint& address,
                           const std::string& detail) {
  return {
      base::error_kind::kOutcomeUnknown,
      "no complete answer from " + settings::ToString(address) + ": " + detail,
      "read back whether the call took effect before repeating it"};
}

}  // namespace

client::client(settings::endpoint address) : address_(std::move(address)) {}

client::~client() = default;

std::unique_ptr<internal::pooled_session> client::AcquireSession() {
  {
    std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
      auto session = std::move(idle_.back());
      idle_.pop_back();
      if (session->IsUsable())
        return session;
    }
  }
  auto session =
      std::make_unique<internal::pooled_session>(address_.host, address_.port);
  session->setKeepAlive(true);
  return session;
}

void client::ReleaseSession(std::unique_ptr<internal::pooled_session> session) {
  std::lock_guard lock(mutex_);
  if (idle_.size() < kMaxIdleConnections)
    idle_.push_back(std::move(session));
}

base::result<response> client::Call(const request& message,
                                    std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  auto session = AcquireSession();
  try {
    session->SetWaitTimeout(timeout);
    Write(*session, message);
  } catch (const Poco::Net::ConnectionRefusedException& failure) {
    return NotSent(address_, failure.displayText());
  } catch (const Poco::Exception& failure) {
    // Part of the request may have been sent. It is certain that nothing was
    // sent only when no connection was established.
    if (!session->connected())
      return NotSent(address_, failure.displayText());
    return OutcomeUnknown(address_, failure.displayText());
  }
  try {
    bool reusable = false;
    auto answer = Read(*session, deadline, message.method, reusable);
    if (!answer.has_value())
      return OutcomeUnknown(address_, answer.error().message);
    if (reusable)
      ReleaseSession(std::move(session));
    return answer;
  } catch (const Poco::Exception& failure) {
    return OutcomeUnknown(address_, failure.displayText());
  }
}

base::result<json_object> client::PostJson(const std::string& target,
                                           const json_object& body,
                                           std::chrono::milliseconds timeout) {
  const request message{
      "POST", target, {{"Content-Type", "application/json"}}, ToText(body)};
  BOOST_OUTCOME_TRY(answer, Call(message, timeout));
  if (answer.code != static_cast<int>(status::kOk))
    return ErrorOf(answer);
  return ParseObject(answer.body);
}

}  // namespace chivecrank::http
