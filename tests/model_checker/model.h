#ifndef CHIVECRANK_TESTS_MODEL_CHECKER_MODEL_H_
#define CHIVECRANK_TESTS_MODEL_CHECKER_MODEL_H_

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/protocol/ownership_lease.h"
#include "chivecrank/protocol/worker_fence.h"
#include "internal/shard_state_machine.h"

/// A small model of the ownership and lease protocol: two schedulers, two
/// workers, two tasks and a store. It runs the rules that the product runs;
/// only the network, the store and the passing of time are modelled.
namespace chivecrank::model_checker {

constexpr int kSchedulers = 2;
constexpr int kWorkers = 2;

/// What may go wrong, and for how long, in one search.
struct model_options {
  protocol::lease_terms terms{std::chrono::milliseconds(2),
                              std::chrono::milliseconds(0),
                              std::chrono::milliseconds(1)};
  /// What the schedulers believe the terms to be when they wait for leases to
  /// end. Other than `terms` only to plant a fault.
  protocol::lease_terms believed_terms = terms;
  int session_term = 2;
  int session_margin = 0;
  /// The last moment that is looked at.
  int horizon = 9;
  int delayed_messages = 0;
  int lost_answers = 0;
  int crashes = 0;
  int worker_restarts = 0;
  int evictions = 0;
  int cancels = 0;
  int ends = 0;
  /// Syncs of all links together, which bounds the search.
  int syncs = 4;
  int renewals = 0;
  /// Takeovers by the second scheduler, or by the first after a crash.
  int claims = 1;
  /// Whether the first owner runs both tasks already.
  bool tasks_run = true;
  /// Whether the second task is done, so that its worker has room.
  bool second_done = false;
  /// Whether the second scheduler has just taken over from it.
  bool taken_over = false;
};

/// A task at a worker.
struct running_attempt {
  workers::attempt_id attempt;
  workers::attempt_state state = workers::attempt_state::kRunning;
  std::chrono::milliseconds saved{0};
};

struct worker_model {
  protocol::worker_fence fence{"boot-0"};
  std::map<std::string, running_attempt> tasks;
  int restarts = 0;
};

struct scheduler_model {
  std::optional<shards::internal::shard_state_machine> ledger;
  std::uint64_t epoch = 0;
  base::time_point valid_until{};
  bool lapsed = false;
  /// Length of the journal that it has seen.
  std::size_t journal_seen = 0;
  /// The last write took effect, but it does not know.
  bool in_doubt = false;
};

struct store_model {
  std::uint64_t epoch = 0;
  int owner = -1;
  base::time_point session_ends{};
  std::vector<scheduling::event> journal;
  /// The epoch that wrote each record; its size counts the records.
  std::vector<std::uint64_t> writers;
};

/// A sync that travels for longer.
struct delayed_sync {
  int scheduler = 0;
  int worker = 0;
  std::uint64_t epoch = 0;
  workers::sync_command command;
};

/// What is left of the options' budgets.
struct budgets {
  int delayed_messages = 0;
  int lost_answers = 0;
  int crashes = 0;
  int worker_restarts = 0;
  int evictions = 0;
  int cancels = 0;
  int ends = 0;
  int syncs = 0;
  int renewals = 0;
  int claims = 0;
};

/// Everything at one moment.
struct model_state {
  base::time_point now{std::chrono::milliseconds(1)};
  store_model store;
  std::array<scheduler_model, kSchedulers> schedulers;
  std::array<worker_model, kWorkers> workers;
  std::vector<delayed_sync> network;
  budgets left;
  /// Attempts that any worker ever started, and those that ended as done.
  std::multiset<workers::attempt_id> started;
  std::multiset<std::string> done;
  /// Tasks whose acceptance a caller was told of.
  std::set<std::string> told;
  /// Progress that was saved and reported, by task.
  std::map<std::string, std::chrono::milliseconds> saved;
  /// A rule that a step broke; empty while all hold.
  std::string broken;

  std::string Fingerprint() const;
};

/// A state that one step leads to.
struct successor {
  std::string step;
  model_state state;
};

/// The first owner leads the shard and has told the caller of both tasks.
model_state InitialState(const model_options& options);

std::vector<successor> Successors(const model_options& options,
                                  const model_state& from);

/// The rule that the state breaks; empty when all hold.
std::string BrokenRule(const model_state& state);

}  // namespace chivecrank::model_checker

#endif  // CHIVECRANK_TESTS_MODEL_CHECKER_MODEL_H_
