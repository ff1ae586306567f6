#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>

#include <iostream>
#include <vector>

#include "chivecrank/http/json.h"
#include "measured_daemon.h"

ABSL_FLAG(int, workers, 0, "workers; 0 runs 50, 250, 950 and 2000");
ABSL_FLAG(int, instances, 7, "schedulers that share the shards");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the ends");
ABSL_FLAG(bool, json, false, "one JSON object a line in place of a table");
ABSL_FLAG(int, sync_ms, 1000, "time between syncs of an idle worker");
ABSL_FLAG(int, task_ms, 6000, "term of the workers' leases");

namespace chivecrank::bench {
namespace {

/// Ownership of a daemon: four renewals in a term of 6 s, one look at the
/// owners and one at the holders a second.
constexpr double kRenewalsPerSecond = 4.0 / 6.0;
constexpr double kRefreshesPerSecond = 2.0;

void Print(const control_load& load, const control_cost& cost) {
  const double seconds = static_cast<double>(load.measured.count());
  http::json_object line = new Poco::JSON::Object;
  line->set("suite", "control");
  line->set("workers", load.workers);
  line->set("tasks", load.workers * load.tasks_per_worker);
  line->set("instances", load.instances);
  line->set("us_per_placement",
            1e6 * cost.cpu_seconds / static_cast<double>(cost.starts));
  line->set("core_percent", 100 * cost.cpu_seconds / seconds);
  line->set("memory_mb", cost.memory_mb);
  line->set("bytes_per_s", cost.agent_bytes_per_s + cost.store_bytes_per_s);
  line->set("store_writes_per_s",
            load.instances * (cost.journal_writes_per_s + kRenewalsPerSecond));
  line->set("store_reads_per_s",
            load.instances * (cost.journal_reads_per_s + kRefreshesPerSecond));
  line->set("agent_bytes_per_s", cost.agent_bytes_per_s);
  line->set("store_bytes_per_s", cost.store_bytes_per_s);
  line->set("agent_calls_per_s",
            static_cast<double>(cost.agent_calls) / seconds);
  line->set("starts_per_s", static_cast<double>(cost.starts) / seconds);
  line->set("measured",
            "us_per_placement, core_percent (thread CPU of shards, codecs and "
            "journal, without sockets and HTTP), memory_mb (of the process, "
            "fakes included), bodies, calls");
  line->set("derived",
            "HTTP headers in bytes; renewals and refreshes in store calls; "
            "store calls of all instances from one");
  std::cout << http::ToText(line) << std::endl;
}

void Table(const control_load& load, const control_cost& cost) {
  const double seconds = static_cast<double>(load.measured.count());
  std::cout << load.workers << " workers: " << 100 * cost.cpu_seconds / seconds
            << "% of a core, " << cost.memory_mb << " MB, "
            << cost.agent_bytes_per_s + cost.store_bytes_per_s << " B/s, "
            << 1e6 * cost.cpu_seconds / static_cast<double>(cost.starts)
            << " us per placement" << std::endl;
}

int Main() {
  std::vector<int> sizes = {50, 250, 950, 2000};
  if (absl::GetFlag(FLAGS_workers) > 0)
    sizes = {absl::GetFlag(FLAGS_workers)};
  for (const int workers : sizes) {
    control_load load;
    load.workers = workers;
    load.instances = absl::GetFlag(FLAGS_instances);
    load.seed = absl::GetFlag(FLAGS_seed);
    load.settings.sync_interval =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_sync_ms));
    load.settings.task_lease_term =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_task_ms));
    const control_cost cost = measured_daemon(load).Run();
    if (absl::GetFlag(FLAGS_json))
      Print(load, cost);
    else
      Table(load, cost);
  }
  return 0;
}

}  // namespace
}  // namespace chivecrank::bench

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  FLAGS_minloglevel = google::GLOG_WARNING;
  return chivecrank::bench::Main();
}
