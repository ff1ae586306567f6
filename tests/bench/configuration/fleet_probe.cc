#include "fleet_probe.h"

#include <unistd.h>

#include <fstream>
#include <sstream>

#include "chivecrank/http/client.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};
/// Fields of /proc/PID/stat after the name that precede the user time.
constexpr int kFieldsBeforeTimes = 11;
/// Fields between the system time and the resident pages.
constexpr int kFieldsBeforePages = 8;

void AddMetrics(const settings::endpoint& status, fleet_totals& totals) {
  http::client client(status);
  const auto answer = client.Call({"GET", "/metrics", {}, ""}, kTimeout);
  if (!answer.has_value())
    return;
  std::istringstream lines(answer.value().body);
  std::string name;
  while (lines >> name) {
    if (name.starts_with("#")) {
      std::getline(lines, name);
      continue;
    }
    double value = 0;
    std::string text;
    std::getline(lines, text);
    std::istringstream(text) >> value;
    if (name == "chivecrank_peer_sent_bytes_total" ||
        name == "chivecrank_peer_received_bytes_total") {
      totals.peer_bytes += value;
    }
    if (name == "chivecrank_peer_calls_total")
      totals.peer_calls += value;
  }
}

void AddProcess(pid_t id, fleet_totals& totals) {
  std::ifstream file("/proc/" + std::to_string(id) + "/stat");
  std::string text;
  std::getline(file, text);
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos)
    return;
  std::istringstream fields(text.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  for (int i = 0; i < kFieldsBeforePages; ++i)
    fields >> skipped;
  double pages = 0;
  fields >> pages;
  totals.processor_seconds +=
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  totals.resident_bytes += pages * static_cast<double>(sysconf(_SC_PAGESIZE));
  ++totals.daemons;
}

}  // namespace

fleet_totals ReadTotals(deployment& system, int instances) {
  fleet_totals totals;
  for (int index = 0; index < instances; ++index) {
    const instance_addresses& at = system.InstanceAt(index);
    AddMetrics(at.entry_status, totals);
    AddMetrics(at.scheduler_status, totals);
    AddMetrics(at.admin_status, totals);
    for (child_process* process : system.ProcessesOf(index))
      AddProcess(process->id(), totals);
  }
  return totals;
}

std::map<std::string, std::int64_t> ReadStoreCalls(const deployment& system) {
  http::client client(system.InstanceAt(0).platform);
  const auto answer =
      client.Call({"POST", "/control/calls", {}, "{}"}, kTimeout);
  std::map<std::string, std::int64_t> calls;
  if (!answer.has_value())
    return calls;
  const auto body = http::ParseObject(answer.value().body);
  if (!body.has_value())
    return calls;
  for (const std::string& name : body.value()->getNames())
    calls[name] = http::IntegerOf(body.value(), name);
  return calls;
}

}  // namespace chivecrank::harness
