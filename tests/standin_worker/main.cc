#include <Poco/UUIDGenerator.h>
#include <absl/flags/flag.h>
#include <glog/logging.h>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/http/server.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/stop_signal.h"
#include "task_agent.h"
#include "upstream_service.h"

ABSL_FLAG(std::string, id, "w-1", "identifier of this worker");
ABSL_FLAG(std::string, host, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(std::uint16_t, service_port, 7200, "port of the service");
ABSL_FLAG(std::uint16_t, agent_port, 7201, "port of the task agent");
ABSL_FLAG(int, service_ms, 20, "time that the service takes, milliseconds");
ABSL_FLAG(int, slots, 8, "requests that the service may run at once");
ABSL_FLAG(std::int64_t, processors_milli, 16'000, "thousandths of processors");
ABSL_FLAG(std::int64_t, memory_mib, 60'000, "memory in MiB");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators");

namespace {

constexpr std::size_t kIncarnationDigits = 8;

std::string NewIncarnation() {
  return Poco::UUIDGenerator::defaultGenerator()
      .createRandom()
      .toString()
      .substr(0, kIncarnationDigits);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("standin_worker",
                      "Stands in for a worker: its service and its agent.",
                      argc, argv);
  base::system_clock clock;
  const std::string host = absl::GetFlag(FLAGS_host);
  standin::upstream_service service(
      clock, absl::GetFlag(FLAGS_id),
      std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms)),
      absl::GetFlag(FLAGS_slots));
  standin::task_agent agent(
      clock,
      {absl::GetFlag(FLAGS_processors_milli), absl::GetFlag(FLAGS_memory_mib),
       absl::GetFlag(FLAGS_accelerators)},
      NewIncarnation());
  http::server service_server(
      {host, absl::GetFlag(FLAGS_service_port)}, {},
      [&](const http::request& message) { return service.Answer(message); });
  http::server agent_server(
      {host, absl::GetFlag(FLAGS_agent_port)}, {},
      [&](const http::request& message) { return agent.Answer(message); });
  for (const auto& started : {service_server.Start(), agent_server.Start()}) {
    if (!started.has_value()) {
      LOG(ERROR) << "worker: " << base::Describe(started.error());
      return static_cast<int>(process::exit_code::kFailed);
    }
  }
  process::WaitForStopSignal();
  service_server.Stop();
  agent_server.Stop();
  return static_cast<int>(process::exit_code::kOk);
}
