#include "instance_settings.h"

namespace chivecrank::apps {
namespace {

constexpr double kLeastCpuShare = 0.001;
constexpr double kMostCpuShare = 1024;
constexpr double kMilli = 1000;
constexpr settings::integer_range kWorkerLeaseMs = {1000, 600'000};
constexpr settings::integer_range kDrainWithinMs = {100, 600'000};
constexpr settings::integer_range kWorkersPerShard = {1, 100'000};
constexpr settings::integer_range kMemoryMb = {16, 1 << 20};

}  // namespace

instance_settings ReadInstanceSettings(settings::section& root) {
  instance_settings read;
  read.callers = root.Endpoint("callers");
  read.readiness = root.Endpoint("readiness");
  read.metrics = root.Endpoint("metrics");
  read.store = root.Endpoint("store");
  if (root.Has("permits"))
    read.permits = root.Endpoint("permits");
  const std::string node = root.String("node");
  root.String("failure_domain");
  read.runtime.workers_per_shard = root.IntegerOr(
      "workers_per_shard", kWorkersPerShard, read.runtime.workers_per_shard);
  settings::section machine = root.Table("machine");
  const double share =
      machine.Number("cpu_share", {kLeastCpuShare, kMostCpuShare});
  machine.Integer("memory_mb", kMemoryMb);
  settings::section scheduling = root.Table("scheduling");
  const std::chrono::milliseconds most_lease(
      scheduling.Integer("worker_lease_ms", kWorkerLeaseMs));
  submissions::scheduler_settings& limits = read.runtime.driver.scheduling;
  limits.drain_within = scheduling.MillisecondsOr(
      "drain_within_ms", kDrainWithinMs, limits.drain_within);
  // A machine that replaces another may have its name, but not its address.
  read.runtime.ownership.node = node + "@" + read.callers.host;
  read.runtime.ownership.processors_milli =
      static_cast<std::int64_t>(share * kMilli);
  read.runtime.driver.node = node;
  limits.worker_lease = submissions::WorkerLeaseFor(most_lease);
  return read;
}

}  // namespace chivecrank::apps
