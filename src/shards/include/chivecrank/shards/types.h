#ifndef CHIVECRANK_SHARDS_TYPES_H_
#define CHIVECRANK_SHARDS_TYPES_H_

#include <chrono>
#include <string>
#include <vector>

#include "chivecrank/platform/types.h"
#include "chivecrank/settings/types.h"

/// Running the shards that a scheduler owns.
namespace chivecrank::shards {

/// How the tasks of a shard are led.
struct shard_settings {
  /// Term of a task's lease at its worker.
  std::chrono::milliseconds task_lease{6000};
  /// Added to the term before an attempt counts as over, for clocks that run
  /// apart.
  std::chrono::milliseconds clock_margin{1000};
  /// Time between two rounds of syncing and planning.
  std::chrono::milliseconds round{200};
};

/// Identifies this scheduler to others.
struct scheduler_identity {
  std::string instance;
  /// Identifies the process run; another one after each restart.
  std::string run;
  settings::endpoint address;
};

/// The shard of a worker: its failure domain and rack.
std::string ShardOf(const platform::instance& worker);

/// All shards of the workers on a list, sorted.
std::vector<std::string> ShardsOf(const std::vector<platform::instance>& all);

/// The shard that a task belongs to, as its identifier says; empty if none.
std::string ShardOfTask(const std::string& task_id);

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TYPES_H_
