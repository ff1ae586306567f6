#include "chivecrank/http/server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <optional>
#include <utility>

#include "chivecrank/http/json.h"
#include "internal/body_reader.h"

namespace chivecrank::http {
namespace {

namespace net = Poco::Net;

constexpr int kBacklog = 512;

Poco::Timespan ToTimespan(std::chrono::milliseconds value) {
  return Poco::Timespan(value.count() * Poco::Timespan::MILLISECONDS);
}

request Convert(const net::HTTPServerRequest& source, std::string body) {
  request converted{source.getMethod(), source.getURI(), {}, std::move(body)};
  for (const auto& [name, value] : source)
    converted.headers.push_back({name, value});
  return converted;
}

void Send(const response& answer, net::HTTPServerResponse& target) {
  target.setStatusAndReason(
      static_cast<net::HTTPResponse::HTTPStatus>(answer.code));
  for (const header& field : answer.headers)
    target.add(field.name, field.value);
  target.sendBuffer(answer.body.data(), answer.body.size());
}

/// Reads and answers one request; closes the connection when the request
/// exceeds a limit.
class request_handler final : public net::HTTPRequestHandler {
 public:
  request_handler(const server_limits& limits,
                  const handler& handle,
                  const std::atomic<bool>& draining)
      : limits_(limits), handle_(handle), draining_(draining) {}

  void handleRequest(net::HTTPServerRequest& source,
                     net::HTTPServerResponse& target) override {
    try {
      Answer(source, target);
    } catch (const Poco::Exception&) {
      // The client disconnected or was too slow, so no answer can be sent.
      target.setKeepAlive(false);
    }
  }

 private:
  void Answer(net::HTTPServerRequest& source,
              net::HTTPServerResponse& target) const {
    const bool has_length = source.hasContentLength();
    const internal::body_limits limits{
        limits_.body_bytes,
        std::chrono::steady_clock::now() + limits_.request_timeout,
        has_length ? source.getContentLength64() : -1};
    auto body = internal::ReadBody(source.stream(), limits);
    if (!body.has_value()) {
      target.setKeepAlive(false);
      response rejection = ErrorResponse(body.error());
      if (body.error().kind == base::error_kind::kResourceExhausted)
        rejection.code = static_cast<int>(status::kPayloadTooLarge);
      if (body.error().kind == base::error_kind::kTimeout)
        rejection.code = static_cast<int>(status::kRequestTimeout);
      Send(rejection, target);
      return;
    }
    const response answer = handle_(Convert(source, std::move(body.value())));
    if (draining_)
      target.setKeepAlive(false);
    Send(answer, target);
  }

  const server_limits& limits_;
  const handler& handle_;
  const std::atomic<bool>& draining_;
};

class handler_factory final : public net::HTTPRequestHandlerFactory {
 public:
  handler_factory(const server_limits& limits,
                  const handler& handle,
                  const std::atomic<bool>& draining)
      : limits_(limits), handle_(handle), draining_(draining) {}

  net::HTTPRequestHandler* createRequestHandler(
      const net::HTTPServerRequest&) override {
    return new request_handler(limits_, handle_, draining_);
  }

 private:
  const server_limits& limits_;
  const handler& handle_;
  const std::atomic<bool>& draining_;
};

}  // namespace

class server::implementation {
 public:
  implementation(settings::endpoint address,
                 server_limits limits,
                 handler handle)
      : address_(std::move(address)),
        limits_(limits),
        handle_(std::move(handle)),
        threads_(2, limits.threads) {}

  base::result<void> Start() {
    try {
      net::ServerSocket socket;
      socket.bind(net::SocketAddress(address_.host, address_.port), true,
                  false);
      socket.listen(kBacklog);
      server_.emplace(new handler_factory(limits_, handle_, draining_),
                      threads_, socket, Parameters());
      server_->start();
    } catch (const Poco::Exception& failure) {
      return base::error{base::error_kind::kUnavailable,
                         "can't listen on " + settings::ToString(address_) +
                             ": " + failure.displayText(),
                         "free the address or configure another one"};
    }
    return base::Success();
  }

  void Drain() { draining_ = true; }

  void Stop() {
    if (!server_)
      return;
    server_->stopAll(false);
    threads_.joinAll();
    server_.reset();
  }

 private:
  net::HTTPServerParams::Ptr Parameters() const {
    net::HTTPServerParams::Ptr parameters = new net::HTTPServerParams;
    parameters->setMaxThreads(limits_.threads);
    parameters->setMaxQueued(limits_.queued_connections);
    parameters->setTimeout(ToTimespan(limits_.read_timeout));
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(ToTimespan(limits_.keep_alive));
    return parameters;
  }

  settings::endpoint address_;
  server_limits limits_;
  handler handle_;
  std::atomic<bool> draining_ = false;
  Poco::ThreadPool threads_;
  std::optional<net::HTTPServer> server_;
};

server::server(settings::endpoint address, server_limits limits, handler handle)
    : implementation_(std::make_unique<implementation>(std::move(address),
                                                       limits,
                                                       std::move(handle))) {}

server::~server() {
  Stop();
}

base::result<void> server::Start() {
  return implementation_->Start();
}

void server::Drain() {
  implementation_->Drain();
}

void server::Stop() {
  implementation_->Stop();
}

}  // namespace chivecrank::http
