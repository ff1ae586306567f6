#ifndef CHIVECRANK_SHARDS_INTERNAL_WORKER_LINK_H_
#define CHIVECRANK_SHARDS_INTERNAL_WORKER_LINK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/protocol/worker_lease.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/workers/types.h"

namespace chivecrank::shards::internal {

/// Counts the events of a shard that were handed to its journal.
using event_position = std::uint64_t;

/// Turns the reports of one worker into events and the state of its tasks into
/// commands. Holds no lock and makes no calls.
class worker_link {
 public:
  worker_link(std::string worker_id,
              std::uint64_t epoch,
              protocol::lease_terms terms,
              base::time_point opened);

  /// The commands of the next sync. `may_start`: starts may be sent.
  workers::sync_command NextSync(const scheduling::shard_state& state,
                                 event_position confirmed,
                                 bool may_start);

  /// Takes the answer to `command`; returns the events that follow from it.
  std::vector<scheduling::event> OnReport(const workers::sync_command& command,
                                          const workers::sync_report& report,
                                          const scheduling::shard_state& state,
                                          base::time_point now);

  /// The events of the last report have got this position; what they end is
  /// acknowledged once the journal confirmed it.
  void OnStaged(event_position position);

  /// A start waits for the journal, so the worker can't know of it yet.
  void AddPlanned(const workers::attempt_id& attempt);

  /// A start that the journal confirmed goes out with the next sync.
  void AddStart(const workers::attempt_id& attempt);

  /// The attempts that ended for certain because the lease did.
  std::vector<scheduling::event> TakeLost(const scheduling::shard_state& state,
                                          base::time_point now);

  /// Canonical text of the state, to compare states by.
  std::string Fingerprint() const;

  bool IsIntroduced() const { return lease_.HasAnswered(); }

 private:
  std::optional<scheduling::event> Interpret(
      const workers::attempt_report& report,
      const scheduling::shard_state& state);
  std::vector<scheduling::event> Unreported(
      const workers::sync_report& report,
      const scheduling::shard_state& state) const;

  std::string worker_id_;
  protocol::worker_lease lease_;
  protocol::lease_terms terms_;
  std::string incarnation_;
  std::uint64_t reported_ = 0;
  std::set<workers::attempt_id> planned_;
  /// Confirmed starts that the worker has not reported yet.
  std::set<workers::attempt_id> starts_;
  /// Attempts that run at the worker but should not.
  std::set<workers::attempt_id> unwanted_;
  /// Ended attempts and the position that must be confirmed first.
  std::map<workers::attempt_id, event_position> ended_;
  /// Ended attempts whose events have no position yet.
  std::vector<workers::attempt_id> unstaged_;
};

}  // namespace chivecrank::shards::internal

#endif  // CHIVECRANK_SHARDS_INTERNAL_WORKER_LINK_H_
