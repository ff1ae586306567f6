#include <absl/flags/flag.h>
#include <glog/logging.h>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/http/server.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/stop_signal.h"
#include "platform_service.h"

ABSL_FLAG(std::string, host, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::uint16_t, port, 7100, "port to listen on");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random faults");

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("standin_platform",
                      "Stands in for the platform's store and instance list.",
                      argc, argv);
  base::system_clock clock;
  standin::platform_service service(clock, absl::GetFlag(FLAGS_seed));
  http::server_limits limits;
  limits.body_bytes = std::size_t{4} << 20;
  limits.threads = 2000;
  http::server server(
      {absl::GetFlag(FLAGS_host), absl::GetFlag(FLAGS_port)}, limits,
      [&](const http::request& message) { return service.Answer(message); });
  const auto started = server.Start();
  if (!started.has_value()) {
    LOG(ERROR) << "platform: " << base::Describe(started.error());
    return static_cast<int>(process::exit_code::kFailed);
  }
  process::WaitForStopSignal();
  server.Stop();
  return static_cast<int>(process::exit_code::kOk);
}
