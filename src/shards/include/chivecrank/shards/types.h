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

/// Runs the shards that a scheduler owns.
namespace chivecrank::shards {

/// Settings of a shard_runner.
struct shard_settings {
  /// Term of a task's lease at its worker.
  std::chrono::milliseconds task_lease_term{6000};
  /// Added to the lease term before an attempt counts as ended, to allow for
  /// clocks that run at different rates.
  std::chrono::milliseconds clock_margin{1000};
  /// Time between two planning rounds.
  std::chrono::milliseconds round_interval{200};
  /// Time between two syncs of a worker without new commands.
  std::chrono::milliseconds sync_interval{1000};
  /// How long worker leases are renewed while the store is unreachable.
  std::chrono::milliseconds outage_grace{60'000};
  /// How long non-urgent starts and ends wait to share a journal write with
  /// others.
  std::chrono::milliseconds commit_window{500};
  journal::journal_limits journal;
};

/// The lease terms that bound the attempts of a shard.
protocol::lease_terms LeaseTermsOf(const shard_settings& settings);

/// Runs a function later, on any thread.
using executor = std::function<void(std::function<void()>)>;

/// Called with each event of a shard while the shard's lock is held.
using event_hook = std::function<void(const scheduling::event& recorded)>;

/// Executors for the calls of the shards. They are separate so that neither
/// unresponsive workers nor a slow store delay the syncs of the other workers.
struct executors {
  executor workers;
  executor unresponsive_workers;
  executor store;
};

/// Identifies this scheduler to other processes.
struct scheduler_identity {
  std::string instance;
  /// Identifies the run of the process; differs after each restart.
  std::string run;
  settings::endpoint address;
};

/// The name of a worker's shard: its failure domain and rack.
std::string ShardOf(const coordination::instance& worker);

/// The shards of all workers among `all`, sorted.
std::vector<std::string> ShardsOf(
    const std::vector<coordination::instance>& all);

/// The shard named in a task identifier; empty if there is none.
std::string ShardOfTask(const std::string& task_id);

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TYPES_H_
