#ifndef CHIVECRANK_TESTS_LEASE_MODEL_OWNER_DRIVER_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_OWNER_DRIVER_H_

#include <array>
#include <string>

#include "chivecrank/protocol/ownership_lease.h"
#include "model.h"

namespace chivecrank::lease_model {

/// What becomes of a message and its answer.
enum class delivery { kAnswered, kAnswerLost, kLost, kLate, kReplaced };

submissions::scheduler_settings Settings(planted_fault fault);
std::string WorkerId(std::size_t worker);

protocol::authority AuthorityOf(const model_state& state,
                                const model_owner& owner);
/// Whether the owner may poll the first worker in this tick.
bool MayPollFirst(const model_state& state, const model_owner& owner);
using lease_ends = std::array<base::time_point, kWorkers>;
/// When the workers' leases end at the latest, as far as the owner knows.
lease_ends LeaseEnds(const model_owner& owner);

/// Does in a model what runtime::shard_driver and shard_journal do for one
/// owner.
class owner_driver {
 public:
  owner_driver(model_state& state, std::size_t owner)
      : state_(state), owner_(state.owners[owner]) {}

  /// Reads the journal and polls the second worker.
  void Restore();
  void SetWorkers();
  /// Polls a worker and decides.
  void Poll(std::size_t worker, delivery outcome);
  /// Handles that the commit was applied; `start` is what becomes of a start
  /// command to the first worker.
  void OnCommitted(delivery start);

 private:
  void CheckWait();
  bool MaySendLease(std::size_t worker) const;
  void OnLeaseSent(std::size_t worker);
  void OnAnswer(std::size_t worker);
  /// Returns whether the worker answered.
  bool Deliver(const message& sent, delivery outcome);
  void OnPollFailed(std::size_t worker, delivery outcome);
  void Decide();
  void TakeBatch();
  void SendCommands(delivery start);
  void SendStart(const submissions::start_command& command, delivery outcome);
  submissions::start_outcome DeliverStart(const message& sent,
                                          delivery outcome);
  void SendStop(const submissions::stop_command& command);
  void CheckStart(const submissions::start_command& command);

  model_state& state_;
  model_owner& owner_;
};

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_OWNER_DRIVER_H_
