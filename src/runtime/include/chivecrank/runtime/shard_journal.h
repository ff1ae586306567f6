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
#include "chivecrank/runtime/keys.h"
#include "chivecrank/submissions/record_codec.h"
#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::runtime {

/// The journal of one shard in the store: numbered entries, each written on the
/// condition that this instance still owns the shard and that the entry does
/// not exist. One transaction is in flight at a time and carries all changes
/// since the previous one, together with the outcomes of submissions.
class shard_journal {
 public:
  struct hooks {
    /// Whether the ownership is valid; called before every transaction.
    std::function<bool()> is_valid;
    /// The store has a newer owner.
    std::function<void(std::string_view reason)> on_fenced;
    /// A transaction was committed: its decisions may be carried out.
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

  /// Decodes the entries of earlier owners from the newest snapshot on. New
  /// entries are numbered from the last one.
  std::vector<submissions::journal_entry> ReadEntries(
      const std::vector<metadata::item>& items);
  std::uint64_t NextEntry() const { return next_entry_; }

  /// Writes all changes unless a transaction is in flight.
  void WriteNext();

 private:
  /// What the transaction in flight writes.
  struct transaction_content {
    std::uint64_t entries = 0;
    /// Whether the entries are a snapshot.
    bool is_snapshot = false;
    /// Number of the batch's tasks, and of its outcomes.
    std::size_t tasks = 0;
    std::size_t outcomes = 0;
    /// Number of old entries to delete.
    std::uint64_t deletes = 0;
  };

  /// What is next to be written of the batch: at least one entry, whose
  /// condition makes a transaction that is applied late fail.
  metadata::transaction NextTransaction();
  /// Adds a snapshot of one or more entries. All are written in one
  /// transaction, since the first one invalidates the entries before it.
  /// Returns false if they do not fit into one.
  bool AddSnapshot(metadata::transaction& changes);
  /// Adds those of the batch's remaining tasks that fit.
  void AddTasks(metadata::transaction& changes);
  /// Whether the transaction writes the last of the batch's tasks.
  bool WritesLastTask() const;
  /// Adds `entry` with as many of `tasks` as fit into it, and returns their
  /// number.
  std::size_t AddEntry(const submissions::journal_entry& entry,
                       std::span<const submissions::task_change> tasks,
                       metadata::transaction& changes);
  void AddOutcomes(metadata::transaction& changes);
  bool IsSnapshotDue() const;
  /// The oldest entry that must not be deleted.
  std::uint64_t FirstRetainedEntry() const;
  void Commit(metadata::transaction changes);
  void OnCommit(const metadata::transaction& changes,
                base::result<metadata::commit_answer> answer);
  void OnCommitted();
  void AdvanceBatch();

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  instance_metrics& metrics_;
  submissions::shard_scheduler& scheduler_;
  const std::uint32_t shard_;
  const metadata::revision fence_;
  const driver_settings& settings_;
  const hooks hooks_;
  /// The batch being committed, and how much of it has been written.
  std::optional<submissions::progress_batch> batch_;
  std::size_t outcomes_written_ = 0;
  std::size_t tasks_written_ = 0;
  transaction_content content_;
  std::uint64_t next_entry_ = 1;
  std::uint64_t oldest_entry_ = 1;
  std::uint64_t snapshot_entry_ = 0;
  /// Number of the next entry when a snapshot last was too large to be written;
  /// 0 if none was.
  std::uint64_t oversized_snapshot_at_ = 0;
  bool in_flight_ = false;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_JOURNAL_H_
