#ifndef CHIVECRANK_SHARDS_SHARD_RUNNER_H_
#define CHIVECRANK_SHARDS_SHARD_RUNNER_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/journal/shard_journal.h"
#include "chivecrank/platform/types.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/shards/types.h"
#include "chivecrank/workers/agent.h"

namespace chivecrank::shards {

/// Leads the tasks of one shard for as long as this scheduler owns it.
/// Safe to use from several threads.
class shard_runner {
 public:
  /// `holds` tells whether the ownership certainly still holds.
  shard_runner(std::string shard,
               std::uint64_t epoch,
               shard_settings settings,
               base::clock& clock,
               platform::store& store,
               workers::agent& agents,
               std::string run,
               std::function<bool()> holds);

  /// Reads the journal and opens the epoch. Nothing else may be called before
  /// it succeeded.
  base::result<void> Open();

  /// One round: syncs the workers, records what ended, starts what fits.
  /// kFenced: the shard has another owner; drop this runner.
  base::result<void> RunRound(const std::vector<platform::instance>& workers);

  /// Accepts a task once its record is confirmed, or returns the one that was
  /// accepted under the same identifier.
  base::result<scheduling::task> Submit(
      const scheduling::task_request& request);
  base::result<scheduling::task> Find(const std::string& task_id);
  base::result<scheduling::task> Cancel(const std::string& task_id);

  const std::string& shard() const { return shard_; }

 private:
  /// What is known of a worker's tasks.
  struct worker_link {
    settings::endpoint agent;
    platform::resources capacity;
    bool takes_tasks = false;
    /// Whether it has answered in this epoch.
    bool synced = false;
    /// When a renewal or start may last have been sent.
    base::time_point last_sent;
    std::vector<workers::attempt_id> acknowledged;
  };

  base::result<void> CheckHolds() const;
  base::result<void> Record(std::vector<scheduling::event> events);
  void UpdateLinks(const std::vector<platform::instance>& workers);
  base::result<void> SyncWorker(const std::string& worker_id);
  base::result<void> RecordEnded(const std::string& worker_id,
                                 const workers::inventory& known);
  base::result<void> RecordLost();
  base::result<void> StartPlanned();
  void SendStart(const scheduling::attempt_started& start);
  std::vector<workers::attempt_id> AttemptsOn(const std::string& worker_id,
                                              bool cancelled) const;

  const std::string shard_;
  const std::uint64_t epoch_;
  const shard_settings settings_;
  base::clock& clock_;
  workers::agent& agents_;
  const std::function<bool()> holds_;

  std::mutex mutex_;
  journal::shard_journal journal_;
  scheduling::shard_state state_;
  std::map<std::string, worker_link> links_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_SHARD_RUNNER_H_
