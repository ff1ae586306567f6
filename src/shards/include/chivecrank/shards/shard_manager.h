#ifndef CHIVECRANK_SHARDS_SHARD_MANAGER_H_
#define CHIVECRANK_SHARDS_SHARD_MANAGER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/ownership/session.h"
#include "chivecrank/ownership/shard_registry.h"
#include "chivecrank/platform/instance_list.h"
#include "chivecrank/platform/store.h"
#include "chivecrank/shards/shard_runner.h"
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
                platform::store& store,
                platform::instance_list& instances,
                workers::agent& agents);
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

  /// Whether the store and the instance list were reached lately.
  bool IsReady() const;

 private:
  void Run();
  void RunOnce();
  base::result<void> RefreshInstances();
  base::result<void> RefreshOwners();
  void ClaimProposed();
  void Claim(const std::string& shard);
  void RunRounds();
  bool Holds() const;
  void DropRunners();

  const scheduler_identity self_;
  const shard_settings settings_;
  base::clock& clock_;
  platform::store& store_;
  platform::instance_list& instances_;
  workers::agent& agents_;
  ownership::shard_registry registry_;

  mutable std::mutex session_mutex_;
  ownership::session session_;

  mutable std::mutex mutex_;
  std::vector<platform::instance> known_instances_;
  std::map<std::string, ownership::owner> owners_;
  std::map<std::string, std::shared_ptr<shard_runner>> runners_;
  bool ready_ = false;

  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_MANAGER_H_
