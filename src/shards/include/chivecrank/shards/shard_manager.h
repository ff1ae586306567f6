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

/// Claims the shards that rendezvous hashing proposes to this scheduler, runs
/// their rounds, and knows the owners of the others.
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
  /// Finishes the round, gives the shards back and ends.
  void Stop();

  /// The runner of a shard that this scheduler owns, or null.
  std::shared_ptr<shard_runner> RunnerOf(const std::string& shard) const;

  /// Where the owner of a shard answers; port 0 when it is not known.
  settings::endpoint OwnerOf(const std::string& shard) const;

  /// All shards, sorted. Empty until the instance list was read.
  std::vector<std::string> Shards() const;

  /// The workers on the list, live or leaving.
  std::vector<coordination::instance> Workers() const;

  /// Whether the store and the instance list were reached lately.
  bool IsReady() const;

 private:
  /// A shard that this scheduler leads, and the lease under which it does.
  struct held_shard {
    std::shared_ptr<shard_runner> runner;
    std::shared_ptr<const protocol::ownership_lease> held;
  };

  void Run();
  void RunRenewals();
  void RunRefreshes();
  base::result<void> RefreshInstances();
  base::result<void> RefreshOwners();
  base::result<void> ListOwners();
  void ClaimProposed();
  void Claim(const std::string& shard);
  void GiveUpUnproposed(const std::vector<std::string>& live);
  void RunRounds();
  void Report();
  void Drop(const std::string& shard);
  std::shared_ptr<const protocol::ownership_lease> Held() const;
  void CloseRunners();
  void SleepUnlessStopping(base::duration time);
  executors Executors();

  const scheduler_identity self_;
  const shard_settings settings_;
  const base::duration renewal_;
  base::clock& clock_;
  coordination::store& store_;
  coordination::instance_list& instances_;
  workers::agent& agents_;
  const std::function<void(const shard_totals&)> report_;
  const event_hook on_event_;
  ownership::shard_registry registry_;

  /// Used by the thread that renews it, and on Stop after that has ended.
  ownership::session session_;

  mutable std::mutex mutex_;
  std::vector<coordination::instance> known_instances_;
  std::map<std::string, ownership::owner> owners_;
  /// Instances with a lease; the instance list lags behind.
  std::set<std::string> holders_;
  coordination::revision owners_revision_ = 0;
  bool owners_known_ = false;
  std::map<std::string, held_shard> runners_;
  std::shared_ptr<const protocol::ownership_lease> held_;
  std::string holder_key_;
  bool ready_ = false;

  std::atomic<bool> stopping_ = false;
  thread_pool worker_calls_;
  thread_pool silent_worker_calls_;
  thread_pool store_calls_;
  std::vector<std::thread> threads_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_MANAGER_H_
