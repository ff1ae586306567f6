#ifndef CHIVECRANK_RUNTIME_INSTANCE_RUNTIME_H_
#define CHIVECRANK_RUNTIME_INSTANCE_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chivecrank/runtime/feed.h"
#include "chivecrank/runtime/instance_metrics.h"
#include "chivecrank/runtime/ownership.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/runtime/shard_driver.h"
#include "chivecrank/runtime/submission_intake.h"
#include "chivecrank/runtime/worker_directory.h"
#include "chivecrank/submissions/queue_table.h"

namespace chivecrank::runtime {

/// Where the configuration lies, and how to read it.
struct configuration_source {
  std::string prefix;
  std::string key;
  std::function<base::result<submissions::queue_table>(std::string_view)>
      decode;
};

struct runtime_settings {
  ownership_settings ownership;
  driver_settings driver;
  intake_settings intake;
  directory_settings directory;
  /// Workers that one shard should have; decides how many shards there are
  /// when the first instance starts.
  std::int64_t workers_per_shard = 600;
};

/// One instance: its copy of the shared keys, the configuration in force, the
/// shards that it owns and the submissions that it takes in.
class instance_runtime {
 public:
  instance_runtime(reactor::event_loop& loop,
                   base::clock& clock,
                   metadata::store& store,
                   submissions::worker_gateway& orders,
                   submissions::permit_service& permits,
                   event_log::event_log& log,
                   runtime_settings settings,
                   worker_source workers,
                   configuration_source configuration);
  ~instance_runtime();

  void Start();
  /// Takes callers from the balancer no more and gives the shards up; `done`
  /// is called when others may own them.
  void Stop(std::function<void()> done);
  /// Whether the balancer should send callers here.
  bool IsReady() const;
  /// The figures as of now.
  instance_metrics& Metrics();

  submission_intake& Intake() { return intake_; }
  const ownership& Ownership() const { return ownership_; }
  const replica& Replica() const { return shared_; }
  /// The queues in force; null before there are any.
  std::shared_ptr<const submissions::queue_table> Queues() const {
    return queues_;
  }

 private:
  replica::hooks ReplicaHooks();
  ownership::hooks OwnershipHooks();
  feed_hooks SharedHooks();
  feed_hooks ConfigurationHooks();
  void TakeConfiguration(const metadata::item& item);
  void OnWorkersListed();
  void DecideShardCount();
  void GiveWorkers(std::uint32_t shard, shard_driver& driver);
  void OnWon(std::uint32_t shard, metadata::revision fence);
  void OnLost(std::uint32_t shard);

  reactor::event_loop& loop_;
  base::clock& clock_;
  metadata::store& store_;
  submissions::worker_gateway& orders_;
  submissions::permit_service& permits_;
  event_log::event_log& log_;
  const runtime_settings settings_;
  const configuration_source configuration_;
  instance_metrics metrics_;
  replica shared_;
  std::shared_ptr<const submissions::queue_table> queues_;
  std::map<std::uint32_t, std::shared_ptr<shard_driver>> drivers_;
  feed shared_feed_;
  feed configuration_feed_;
  worker_directory directory_;
  ownership ownership_;
  submission_intake intake_;
  std::size_t workers_seen_ = 0;
  bool stopping_ = false;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_INSTANCE_RUNTIME_H_
