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

/// Position of an event in the sequence of events staged by this owner, from 1.
using event_position = std::uint64_t;

/// Converts the reports of one worker into events and the state of its tasks
/// into commands. Takes no lock and makes no calls.
class worker_link {
 public:
  worker_link(std::string worker_id,
              std::uint64_t epoch,
              protocol::lease_terms terms,
              base::time_point opened);

  /// Builds the next sync. It contains starts only if `may_start`.
  workers::sync_command NextSync(const scheduling::shard_state& state,
                                 event_position confirmed,
                                 bool may_start);

  /// Handles the answer to `command`; returns the resulting events.
  std::vector<scheduling::event> OnReport(const workers::sync_command& command,
                                          const workers::sync_report& report,
                                          const scheduling::shard_state& state,
                                          base::time_point now);

  /// The events of the last report were staged up to this position. Attempts
  /// that they end are acknowledged once the journal has confirmed it.
  void OnStaged(event_position position);

  /// Records a planned start that waits for the journal; the worker has not
  /// received it.
  void AddPlanned(const workers::attempt_id& attempt);

  /// Records a start that the journal has confirmed; the next sync sends it.
  void AddStart(const workers::attempt_id& attempt);

  /// Returns the end of all open attempts if the worker's lease has expired.
  std::vector<scheduling::event> TakeLostAttempts(
      const scheduling::shard_state& state,
      base::time_point now);

  /// A canonical text of the state, for comparing states.
  std::string Fingerprint() const;

  bool HasAnswered() const { return lease_.HasAnswered(); }

 private:
  std::optional<scheduling::event> InterpretReport(
      const workers::attempt_report& report,
      const scheduling::shard_state& state);
  std::vector<scheduling::event> FindUnreportedAttempts(
      const workers::sync_report& report,
      const scheduling::shard_state& state) const;

  std::string worker_id_;
  protocol::worker_lease lease_;
  protocol::lease_terms terms_;
  std::string incarnation_;
  std::uint64_t reported_position_ = 0;
  std::set<workers::attempt_id> planned_;
  /// Confirmed starts that the worker has not reported yet.
  std::set<workers::attempt_id> confirmed_starts_;
  /// Attempts that run on the worker and must be stopped.
  std::set<workers::attempt_id> unwanted_;
  /// Ended attempts, with the position that must be confirmed before they are
  /// acknowledged.
  std::map<workers::attempt_id, event_position> ended_;
  /// Ended attempts whose events are not staged yet.
  std::vector<workers::attempt_id> unstaged_;
};

}  // namespace chivecrank::shards::internal

#endif  // CHIVECRANK_SHARDS_INTERNAL_WORKER_LINK_H_
