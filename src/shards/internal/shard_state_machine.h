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

/// The state of one shard at its owner: the tasks, the links to the workers,
/// and which events the journal has confirmed. Deterministic: it makes no calls
/// and takes no lock, so the model checker can run the same code as
/// shard_runner.
class shard_state_machine {
 public:
  /// Called with each new event after it was applied to the state.
  using applied_hook =
      std::function<void(const scheduling::event& recorded,
                         const scheduling::shard_state& after)>;

  /// `opened` is a time after the previous owner's lease ended. `on_applied`
  /// may be empty.
  shard_state_machine(std::uint64_t epoch,
                      protocol::lease_terms terms,
                      base::time_point opened,
                      applied_hook on_applied = {});

  /// Applies an event that the journal contained when this owner opened it.
  base::result<void> Replay(const scheduling::event& recorded);

  /// Applies new events and queues them for the journal; returns the position
  /// of the last one. kCorrupt if an event is not valid in the current state.
  base::result<event_position> Stage(std::vector<scheduling::event> events);

  /// The events to write next, at most `limit`. The batch stays the same until
  /// OnConfirmed or RequeueBatch; while there is one, `limit` is ignored.
  const std::vector<scheduling::event>& TakeBatch(std::size_t limit);
  /// Returns the batch to the queue after it was certainly not written; the
  /// next batch may have another size.
  void RequeueBatch();
  /// The journal has confirmed the batch. Returns the workers that need a sync
  /// at once.
  std::set<std::string> OnConfirmed();

  /// Whether events are waiting to be written without further delay.
  bool NeedsWrite() const { return write_due_ || !batch_.empty(); }
  /// Requests a write of all staged events.
  void AskForWrite() { write_due_ |= !staged_.empty(); }
  /// Whether an event is staged that is worth a write of its own.
  bool IsWorthWriting() const { return worth_writing_; }

  /// Builds the next sync of a worker. It contains starts only if `may_start`.
  workers::sync_command NextSync(const std::string& worker_id, bool may_start);
  /// Handles the answer to a sync and stages the resulting events.
  base::result<void> OnReport(const std::string& worker_id,
                              const workers::sync_command& command,
                              const workers::sync_report& report,
                              base::time_point now);
  /// Stages the end of the attempts on workers whose leases have expired;
  /// returns their number.
  std::size_t StageLostAttempts(base::time_point now);

  worker_link& LinkOf(const std::string& worker_id);

  const scheduling::shard_state& state() const { return state_; }
  event_position confirmed() const { return confirmed_; }
  event_position staged_end() const { return staged_end_; }
  /// The position that must be confirmed before callers may learn the task's
  /// state; 0 if all its events are confirmed.
  event_position PositionOf(const std::string& task_id) const;

  /// All confirmed events, grouped by task.
  std::vector<scheduling::event> History() const;

  /// A canonical text of the state, for comparing states.
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
  /// The position of the newest unconfirmed event of each task.
  std::map<std::string, event_position> unconfirmed_;
  std::map<std::string, std::vector<scheduling::event>> history_;
};

/// A short canonical text of an event.
std::string ShortTextOf(const scheduling::event& recorded);

/// The identifier of the event's task.
const std::string& TaskOf(const scheduling::event& recorded);

}  // namespace chivecrank::shards::internal

#endif  // CHIVECRANK_SHARDS_INTERNAL_SHARD_STATE_MACHINE_H_
