#include "chivecrank/http/client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <utility>

#include "internal/body_reader.h"

namespace chivecrank::http {
namespace {

namespace net = Poco::Net;

constexpr std::size_t kIdleConnections = 4;
constexpr std::size_t kAnswerBytes = std::size_t{8} << 20;

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
                            bool& reusable) {
  net::HTTPResponse in;
  std::istream& stream = session.receiveResponse(in);
  const internal::body_bounds bounds{
      kAnswerBytes, deadline,
      in.hasContentLength() ? in.getContentLength64() : -1};
  BOOST_OUTCOME_TRY(body, internal::ReadBody(stream, bounds));
  reusable = in.getKeepAlive() &&
             (in.hasContentLength() || in.getChunkedTransferEncoding());
  response answer{in.getStatus(), {}, std::move(body)};
  for (const auto& [name, value] : in)
    answer.headers.push_back({name, value});
  return answer;
}

base::error Unsent(const settings::endpoint& address,
                   const std::string& detail) {
  return {base::error_kind::kUnavailable,
          "can't reach " + settings::ToString(address) + ": " + detail,
          "check that it runs and is reachable, then try again"};
}

base::error Unanswered(const settings::endpoint& address,
                       const std::string& detail) {
  return {base::error_kind::kOutcomeUnknown,
          "no whole answer from " + settings::ToString(address) + ": " + detail,
          "read back what became of the call before repeating it"};
}

}  // namespace

client::client(settings::endpoint address) : address_(std::move(address)) {}

client::~client() = default;

std::unique_ptr<net::HTTPClientSession> client::Take() {
  {
    std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
      auto session = std::move(idle_.back());
      idle_.pop_back();
      return session;
    }
  }
  auto session =
      std::make_unique<net::HTTPClientSession>(address_.host, address_.port);
  session->setKeepAlive(true);
  return session;
}

void client::Keep(std::unique_ptr<net::HTTPClientSession> session) {
  std::lock_guard lock(mutex_);
  if (idle_.size() < kIdleConnections)
    idle_.push_back(std::move(session));
}

base::result<response> client::Call(const request& message,
                                    std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  auto session = Take();
  session->setTimeout(
      Poco::Timespan(timeout.count() * Poco::Timespan::MILLISECONDS));
  try {
    Write(*session, message);
  } catch (const Poco::Net::ConnectionRefusedException& failure) {
    return Unsent(address_, failure.displayText());
  } catch (const Poco::Exception& failure) {
    // Part of the request may have left, so a failed write is only certain
    // when no connection was ever made.
    if (!session->connected())
      return Unsent(address_, failure.displayText());
    return Unanswered(address_, failure.displayText());
  }
  try {
    bool reusable = false;
    auto answer = Read(*session, deadline, reusable);
    if (!answer.has_value())
      return Unanswered(address_, answer.error().message);
    if (reusable)
      Keep(std::move(session));
    return answer;
  } catch (const Poco::Exception& failure) {
    return Unanswered(address_, failure.displayText());
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
