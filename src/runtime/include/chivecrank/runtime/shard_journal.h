#ifndef CHIVECRANK_RUNTIME_SHARD_JOURNAL_H_
#define CHIVECRANK_RUNTIME_SHARD_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/driver_settings.h"
#include "chivecrank/runtime/instance_metrics.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/submissions/record_codec.h"
#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::runtime {

/// The journal of one shard in the store: numbered entries, each written under
/// the condition that this owner still owns the shard and that the entry does
/// not exist. One transaction is under way at a time and carries all changes
/// since the last one; the outcomes of submissions and the shard's status go
/// with it.
class shard_journal {
 public:
  struct hooks {
    /// Whether the ownership holds now; asked before every transaction.
    std::function<bool()> is_valid;
    /// The store knows a newer owner.
    std::function<void(std::string_view reason)> on_fenced;
    /// A transaction is in the store: what it decided may be carried out.
    std::function<void()> on_committed;
  };

  shard_journal(reactor::event_loop& loop,
                metadata::store& store,
                event_log::event_log& log,
                instance_metrics& metrics,
                submissions::shard_scheduler& scheduler,
                std::uint32_t shard,
                metadata::revision fence,
                const driver_settings& settings,
                hooks handlers);

  /// Reads the entries that an earlier owner left, from the newest snapshot on,
  /// and goes on after the last one.
  std::vector<submissions::journal_entry> Continue(
      const std::vector<metadata::item>& items);
  std::uint64_t NextEntry() const { return next_entry_; }

  /// Writes what changed, unless a transaction is under way.
  void WriteNext();

 private:
  /// What the transaction under way writes.
  struct part_in_flight {
    std::uint64_t entries = 0;
    /// The entries are a snapshot.
    bool is_snapshot = false;
    /// Of the batch.
    std::size_t tasks = 0;
    std::size_t outcomes = 0;
    /// Old entries that go.
    std::uint64_t deletes = 0;
  };

  metadata::transaction NextTransaction();
  /// Adds a snapshot in one or more entries. All are written at once, since
  /// the first makes the entries before it void; false when they are too many.
  bool AddSnapshot(metadata::transaction& changes);
  /// Adds what of the batch's tasks is not written yet, as far as it fits.
  void AddTasks(metadata::transaction& changes);
  /// Whether the transaction writes the last of the batch's tasks.
  bool TasksGoOut() const;
  /// Adds `entry` with as many of the tasks as fit into it, and returns how
  /// many these are.
  std::size_t AddEntry(const submissions::journal_entry& entry,
                       std::span<const submissions::task_change> tasks,
                       metadata::transaction& changes);
  void AddOutcomes(metadata::transaction& changes);
  bool SnapshotDue() const;
  /// The oldest entry that must stay.
  std::uint64_t KeptFrom() const;
  std::optional<metadata::write> StatusWrite();
  shard_status CurrentStatus() const;
  void Commit(metadata::transaction changes);
  void OnCommit(const metadata::transaction& changes,
                base::result<metadata::commit_answer> answer);
  void OnCommitted();
  void NoteBatchWritten();

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  instance_metrics& metrics_;
  submissions::shard_scheduler& scheduler_;
  const std::uint32_t shard_;
  const metadata::revision fence_;
  const driver_settings& settings_;
  const hooks hooks_;
  /// The batch that is being committed, and what of it is still to be written.
  std::optional<submissions::progress_batch> batch_;
  std::size_t outcomes_written_ = 0;
  std::size_t tasks_written_ = 0;
  part_in_flight part_;
  std::uint64_t next_entry_ = 1;
  std::uint64_t oldest_entry_ = 1;
  std::uint64_t snapshot_entry_ = 0;
  /// Where a snapshot was too large to be written; unset for nowhere.
  std::uint64_t too_large_at_ = 0;
  bool in_flight_ = false;
  std::string written_status_;
  base::time_point status_at_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_JOURNAL_H_
