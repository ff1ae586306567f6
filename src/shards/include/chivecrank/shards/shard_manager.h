#ifndef CHIVECRANK_SHARDS_SHARD_MANAGER_H_
#define CHIVECRANK_SHARDS_SHARD_MANAGER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/instance_list.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/ownership/session.h"
#include "chivecrank/ownership/shard_registry.h"
#include "chivecrank/shards/shard_runner.h"
#include "chivecrank/shards/thread_pool.h"
#include "chivecrank/shards/types.h"
#include "chivecrank/workers/agent.h"

namespace chivecrank::shards {

/// Claims the shards that rendezvous hashing assigns to this scheduler, runs
/// their planning rounds, and tracks the owners of the other shards. Safe to
/// use from several threads.
class shard_manager {
 public:
  shard_manager(scheduler_identity self,
                shard_settings settings,
                ownership::session_settings session,
                base::clock& clock,
                coordination::store& store,
                coordination::instance_list& instances,
                workers::agent& agents,
                std::function<void(const shard_totals&)> report,
                event_hook on_event = {});
  ~shard_manager();
  shard_manager(const shard_manager&) = delete;
  shard_manager& operator=(const shard_manager&) = delete;

  void Start();
  /// Finishes the current round, closes the runners, releases the shards and
  /// ends the lease. Blocks until the threads have ended.
  void Stop();

  /// The runner of a shard that this scheduler owns under a valid lease, or
  /// null.
  std::shared_ptr<shard_runner> FindRunner(const std::string& shard) const;

  /// The address of a shard's owner; port 0 if it is unknown.
  settings::endpoint FindOwner(const std::string& shard) const;

  /// The shards of all listed workers, sorted; empty until the instance list
  /// has been read.
  std::vector<std::string> Shards() const;

  /// All listed workers, including those that are leaving.
  std::vector<coordination::instance> Workers() const;

  /// Whether the last refresh reached the store and the instance list.
  bool IsReady() const;

 private:
  /// A shard that this scheduler owns, and the lease under which it was
  /// claimed.
  struct owned_shard {
    std::shared_ptr<shard_runner> runner;
    std::shared_ptr<const protocol::ownership_lease> ownership_lease;
  };

  void RunRoundLoop();
  void RunRenewalLoop();
  void RunRefreshLoop();
  base::result<void> RefreshInstances();
  base::result<void> RefreshOwners();
  base::result<void> ListOwners();
  void ClaimProposedShards();
  void Claim(const std::string& shard);
  void ReleaseUnproposedShards(const std::vector<std::string>& live_schedulers);
  void RunRounds();
  void Report();
  void Drop(const std::string& shard);
  std::shared_ptr<const protocol::ownership_lease> CurrentLease() const;
  void CloseRunners();
  void SleepUnlessStopping(base::duration time);
  executors Executors();

  const scheduler_identity self_;
  const shard_settings settings_;
  const base::duration renewal_interval_;
  base::clock& clock_;
  coordination::store& store_;
  coordination::instance_list& instances_;
  workers::agent& agents_;
  const std::function<void(const shard_totals&)> report_;
  const event_hook on_event_;
  ownership::shard_registry registry_;

  /// Used only by the renewal thread, and by Stop after that thread has ended.
  ownership::session session_;

  mutable std::mutex mutex_;
  std::vector<coordination::instance> listed_instances_;
  std::map<std::string, ownership::owner> owners_;
  /// Instances that hold an ownership lease; the instance list notices a
  /// stopped one only later.
  std::set<std::string> lease_holders_;
  coordination::revision owners_revision_ = 0;
  bool owners_known_ = false;
  std::map<std::string, owned_shard> runners_;
  std::shared_ptr<const protocol::ownership_lease> ownership_lease_;
  std::string holder_key_;
  bool ready_ = false;

  std::atomic<bool> stopping_ = false;
  thread_pool worker_calls_;
  thread_pool unresponsive_worker_calls_;
  thread_pool store_calls_;
  std::vector<std::thread> threads_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_MANAGER_H_
