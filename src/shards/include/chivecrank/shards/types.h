#ifndef CHIVECRANK_SHARDS_TYPES_H_
#define CHIVECRANK_SHARDS_TYPES_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/journal/types.h"
#include "chivecrank/protocol/types.h"
#include "chivecrank/scheduling/types.h"
#include "chivecrank/settings/types.h"

/// Running the shards that a scheduler owns.
namespace chivecrank::shards {

/// How the tasks of a shard are led.
struct shard_settings {
  /// Term of a task's lease at its worker.
  std::chrono::milliseconds task_lease_term{6000};
  /// Added to the term before an attempt counts as over, for clocks that run
  /// apart.
  std::chrono::milliseconds clock_margin{1000};
  /// Time between two rounds of planning.
  std::chrono::milliseconds round_interval{200};
  /// Time between two syncs of a worker for which there is nothing new.
  std::chrono::milliseconds sync_interval{1000};
  /// How long leases are renewed while the store can't be reached.
  std::chrono::milliseconds outage_grace{60'000};
  /// How long starts and ends wait for others to share a write, unless urgent.
  std::chrono::milliseconds commit_window{500};
  journal::journal_limits journal;
};

/// The terms that bound the attempts of a shard.
protocol::lease_terms TermsOf(const shard_settings& settings);

/// Runs a function some time, on any thread.
using executor = std::function<void(std::function<void()>)>;

/// Called with each event of a shard, under the shard's lock.
using event_hook = std::function<void(const scheduling::event& recorded)>;

/// Where the calls of shards run. They are apart so that neither silent
/// workers nor a slow store hold up the syncs of the others.
struct executors {
  executor workers;
  executor silent_workers;
  executor store;
};

/// Identifies this scheduler to others.
struct scheduler_identity {
  std::string instance;
  /// Identifies the process run; another one after each restart.
  std::string run;
  settings::endpoint address;
};

/// The shard of a worker: its failure domain and rack.
std::string ShardOf(const coordination::instance& worker);

/// All shards of the workers on a list, sorted.
std::vector<std::string> ShardsOf(
    const std::vector<coordination::instance>& all);

/// The shard that a task belongs to, as its identifier says; empty if none.
std::string ShardOfTask(const std::string& task_id);

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TYPES_H_
