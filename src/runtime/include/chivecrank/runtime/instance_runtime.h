#ifndef CHIVECRANK_RUNTIME_INSTANCE_RUNTIME_H_
#define CHIVECRANK_RUNTIME_INSTANCE_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "chivecrank/runtime/drained_domains.h"
#include "chivecrank/runtime/instance_metrics.h"
#include "chivecrank/runtime/ownership.h"
#include "chivecrank/runtime/prefix_watcher.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/runtime/shard_driver.h"
#include "chivecrank/runtime/submission_intake.h"
#include "chivecrank/runtime/worker_directory.h"
#include "chivecrank/submissions/queue_table.h"

namespace chivecrank::runtime {

/// Location of the configuration and of the operators' other requests in the
/// store, and their decoders.
struct configuration_source {
  std::string prefix;
  std::string key;
  std::function<base::result<submissions::queue_table>(std::string_view)>
      decode;
  /// A key under the prefix that may drain a failure domain.
  drain_key_decoder decode_drain;
};

struct runtime_settings {
  ownership_settings ownership;
  driver_settings driver;
  intake_settings intake;
  worker_directory_settings directory;
  /// Target number of workers per shard. The first instance to start derives
  /// the number of shards from it.
  std::int64_t workers_per_shard = 600;
};

/// Runs one instance: replicates the shared keys, follows the active
/// configuration, drives the shards that the instance owns, and accepts
/// submissions. All calls and callbacks happen on the event loop's thread.
class instance_runtime {
 public:
  instance_runtime(reactor::event_loop& loop,
                   base::clock& clock,
                   metadata::store& store,
                   submissions::worker_gateway& gateway,
                   submissions::permit_service& permits,
                   event_log::event_log& log,
                   runtime_settings settings,
                   worker_source workers,
                   configuration_source configuration);
  ~instance_runtime();

  void Start();
  /// Reports not ready to the load balancer and gives up the owned shards;
  /// calls `done` when other instances may own them.
  void Stop(std::function<void()> done);
  /// Whether the load balancer should send requests to this instance.
  bool IsReady() const;
  /// Updates the gauges and returns the metrics.
  instance_metrics& Metrics();

  submission_intake& Intake() { return intake_; }
  const ownership& Ownership() const { return ownership_; }
  const replica& Replica() const { return shared_; }
  /// The queues of the active configuration; null until one has been read.
  std::shared_ptr<const submissions::queue_table> Queues() const {
    return queues_;
  }

 private:
  replica::hooks ReplicaHooks();
  ownership::hooks OwnershipHooks();
  prefix_watcher_hooks SharedHooks();
  prefix_watcher_hooks ConfigurationHooks();
  void ApplyConfiguration(const metadata::item& item);
  void ApplyDrains();
  void ConfirmDrains(base::time_point as_of);
  void OnWorkersListed();
  /// Whether the worker is of a service that the configuration names; others
  /// are never called.
  bool IsUsed(const submissions::worker_description& worker) const;
  /// Logs workers that are listed and not used, each once.
  void ReportUnusedWorkers();
  void UpdateDrainMetrics();
  void DecideShardCount();
  void AssignWorkers(std::uint32_t shard, shard_driver& driver);
  void OnShardAcquired(std::uint32_t shard, const acquisition& acquired);
  void OnShardLost(std::uint32_t shard);

  reactor::event_loop& loop_;
  base::clock& clock_;
  metadata::store& store_;
  submissions::worker_gateway& gateway_;
  submissions::permit_service& permits_;
  event_log::event_log& log_;
  const runtime_settings settings_;
  const configuration_source configuration_;
  instance_metrics metrics_;
  replica shared_;
  std::shared_ptr<const submissions::queue_table> queues_;
  drained_domains drains_;
  /// The drained domains are known as of this time; unset before the first
  /// listing.
  std::optional<base::time_point> drains_as_of_;
  std::map<std::uint32_t, std::shared_ptr<shard_driver>> drivers_;
  /// Since when the store has answered again.
  base::time_point store_regained_at_;
  /// What dropped drivers knew, by shard.
  std::map<std::uint32_t, earlier_ownership> earlier_;
  prefix_watcher shared_watcher_;
  prefix_watcher configuration_watcher_;
  worker_directory directory_;
  /// Identifiers of the listed workers that are not used.
  std::set<std::string> unused_workers_;
  ownership ownership_;
  submission_intake intake_;
  std::size_t last_worker_count_ = 0;
  bool stopping_ = false;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_INSTANCE_RUNTIME_H_
