#ifndef CHIVECRANK_SHARDS_INTERNAL_SHARD_STATE_MACHINE_H_
#define CHIVECRANK_SHARDS_INTERNAL_SHARD_STATE_MACHINE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/scheduling/shard_state.h"
#include "internal/worker_link.h"

namespace chivecrank::shards::internal {

/// What one owner knows of its shard: the tasks, its links to the workers, and
/// which events the journal has confirmed. Deterministic: it makes no calls
/// and holds no lock, so the model checker drives it as the runner does.
class shard_state_machine {
 public:
  /// Called with each new event once it was applied to the state.
  using applied_hook =
      std::function<void(const scheduling::event& recorded,
                         const scheduling::shard_state& after)>;

  /// `opened`: a moment after the former owner's lease had ended. `on_applied`
  /// may be empty.
  shard_state_machine(std::uint64_t epoch,
                      protocol::lease_terms terms,
                      base::time_point opened,
                      applied_hook on_applied = {});

  /// Applies an event that the journal held before this owner.
  base::result<void> Replay(const scheduling::event& recorded);

  /// Applies new events and queues them for the journal; returns the position
  /// of the last. kCorrupt when one can't follow the state.
  base::result<event_position> Stage(std::vector<scheduling::event> events);

  /// The events to write next, at most `limit` unless some are being written.
  /// They stay the same until OnConfirmed or RequeueBatch.
  const std::vector<scheduling::event>& TakeBatch(std::size_t limit);
  /// The batch was certainly not written; it is cut anew.
  void RequeueBatch();
  /// The journal holds the batch. Returns the workers to sync without delay.
  std::set<std::string> OnConfirmed();

  /// Whether something waits for a write.
  bool NeedsWrite() const { return write_due_ || !batch_.empty(); }
  /// Asks for a write of all that is staged.
  void AskForWrite() { write_due_ |= !staged_.empty(); }
  /// Whether something is staged that should not wait for long.
  bool IsWorthWriting() const { return worth_writing_; }

  /// The next sync of a worker. Starts are only sent when `may_start`.
  workers::sync_command NextSync(const std::string& worker_id, bool may_start);
  /// Takes the answer to a sync; what follows is staged.
  base::result<void> OnReport(const std::string& worker_id,
                              const workers::sync_command& command,
                              const workers::sync_report& report,
                              base::time_point now);
  /// Stages the end of the attempts on workers whose leases are over; returns
  /// how many there were.
  std::size_t StageLostAttempts(base::time_point now);

  worker_link& LinkOf(const std::string& worker_id);

  const scheduling::shard_state& state() const { return state_; }
  event_position confirmed() const { return confirmed_; }
  event_position staged_end() const { return staged_end_; }
  /// The position that must be confirmed before anyone is told of a task.
  event_position PositionOf(const std::string& task_id) const;

  /// All confirmed events, by task.
  std::vector<scheduling::event> History() const;

  /// Canonical text of the state, to compare states by.
  std::string Fingerprint() const;

 private:
  std::uint64_t epoch_;
  protocol::lease_terms terms_;
  base::time_point opened_;
  applied_hook on_applied_;
  scheduling::shard_state state_;
  std::map<std::string, worker_link> links_;
  std::vector<scheduling::event> staged_;
  std::vector<scheduling::event> batch_;
  event_position staged_end_ = 0;
  event_position confirmed_ = 0;
  bool write_due_ = false;
  bool worth_writing_ = false;
  /// Positions of the newest unconfirmed events of tasks.
  std::map<std::string, event_position> unconfirmed_;
  std::map<std::string, std::vector<scheduling::event>> history_;
};

/// Short canonical text of an event.
std::string ShortTextOf(const scheduling::event& recorded);

/// The task that an event is about.
const std::string& TaskOf(const scheduling::event& recorded);

}  // namespace chivecrank::shards::internal

#endif  // CHIVECRANK_SHARDS_INTERNAL_SHARD_STATE_MACHINE_H_
