#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <glog/logging.h>

#include <map>
#include <memory>
#include <vector>

#include "chivecrank/http/server.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/stop_signal.h"
#include "proxy_route.h"

ABSL_FLAG(std::string, control, "127.0.0.1:7300", "address of the control");
ABSL_FLAG(std::vector<std::string>,
          routes,
          {},
          "NAME=HOST:PORT>HOST:PORT, separated by commas");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults");

namespace chivecrank::fault_proxy {
namespace {

using route_map = std::map<std::string, std::unique_ptr<proxy_route>>;

settings::endpoint ToEndpoint(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  return {parts.at(0), static_cast<std::uint16_t>(std::stoi(parts.at(1)))};
}

route_map OpenRoutes() {
  route_map routes;
  std::uint64_t seed = absl::GetFlag(FLAGS_seed) * 1000;
  for (const std::string& text : absl::GetFlag(FLAGS_routes)) {
    const std::vector<std::string> named = absl::StrSplit(text, '=');
    const std::vector<std::string> ends = absl::StrSplit(named.at(1), '>');
    routes[named.at(0)] = std::make_unique<proxy_route>(
        ToEndpoint(ends.at(0)), ToEndpoint(ends.at(1)), ++seed);
  }
  return routes;
}

/// POST /control/faults {"route": NAME or "" for all, "to_server": {...},
/// "to_client": {...}} sets the faults of chunks from now on.
http::response SetFaults(const route_map& routes,
                         const http::request& message) {
  const auto body = http::ParseObject(message.body);
  if (!body.has_value())
    return http::ErrorResponse(body.error());
  const std::string name = http::StringOf(body.value(), "route");
  const auto shares = [&](const std::string& direction) {
    const http::json_object encoded = http::ObjectOf(body.value(), direction);
    return encoded ? DecodeShares(encoded) : fault_shares();
  };
  for (const auto& [known, route] : routes) {
    if (name.empty() || name == known)
      route->SetFaults(shares("to_server"), shares("to_client"));
  }
  return http::JsonResponse(http::status::kOk, new Poco::JSON::Object);
}

}  // namespace
}  // namespace chivecrank::fault_proxy

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("fault_proxy",
                      "Passes TCP connections on and injects faults.", argc,
                      argv);
  const fault_proxy::route_map routes = fault_proxy::OpenRoutes();
  http::server control(fault_proxy::ToEndpoint(absl::GetFlag(FLAGS_control)),
                       {}, [&](const http::request& message) {
                         return fault_proxy::SetFaults(routes, message);
                       });
  const auto started = control.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "proxy: " << base::Describe(started.error());
    return static_cast<int>(process::exit_code::kFailed);
  }
  process::WaitForStopSignal();
  control.Stop();
  return static_cast<int>(process::exit_code::kOk);
}
