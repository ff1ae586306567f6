#include "chivecrank/process/status_server.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace chivecrank::process {
namespace {

http::server_limits StatusLimits() {
  http::server_limits limits;
  limits.body_bytes = 1024;
  limits.threads = 4;
  return limits;
}

http::response Text(http::status code, std::string body) {
  return {static_cast<int>(code),
          {{"Content-Type", "text/plain; charset=utf-8"}},
          std::move(body)};
}

}  // namespace

status_server::status_server(settings::endpoint address,
                             std::shared_ptr<prometheus::Registry> metrics,
                             std::function<readiness()> ready)
    : metrics_(std::move(metrics)),
      ready_(std::move(ready)),
      server_(
          std::move(address),
          StatusLimits(),
          [this](const http::request& message) { return Answer(message); }) {}

base::result<void> status_server::Start() {
  return server_.Start();
}

void status_server::Stop() {
  server_.Stop();
}

http::response status_server::Answer(const http::request& message) const {
  const std::string_view path = message.Path();
  if (path == "/healthz")
    return Text(http::status::kOk, "ok\n");
  if (path == "/readyz") {
    const readiness state = ready_();
    if (state.ready) {
      return Text(http::status::kOk, "ready, configuration revision " +
                                         std::to_string(state.revision) + "\n");
    }
    return Text(http::status::kServiceUnavailable, state.reason + "\n");
  }
  if (path == "/metrics") {
    const prometheus::TextSerializer serializer;
    return Text(http::status::kOk, serializer.Serialize(metrics_->Collect()));
  }
  return Text(http::status::kNotFound,
              "not found; try /healthz, /readyz or /metrics\n");
}

}  // namespace chivecrank::process
