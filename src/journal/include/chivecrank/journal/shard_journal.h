#ifndef CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_
#define CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_

#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/journal/snapshot_store.h"
#include "chivecrank/journal/types.h"

namespace chivecrank::journal {

/// Reads and appends to the journal of one shard. Records are stored in a fixed
/// ring of keys (slots). Each write is a compare-and-swap against the slot's
/// previous version, so a former owner that writes late finds the record of the
/// new owner and learns that it was replaced. Not safe to use from several
/// threads.
class shard_journal {
 public:
  /// `writer` identifies this process run.
  shard_journal(coordination::store& store,
                const std::string& shard,
                std::string writer,
                journal_limits limits = {});

  /// Reads the snapshot and the records after it, then opens `owner_epoch` with
  /// a record of its own. Returns what was read, in order. kFenced: a newer
  /// epoch is open. kCorrupt: a record is unreadable or missing.
  base::result<std::vector<record>> Open(epoch owner_epoch);

  /// Writes the events as one record. kUnavailable, kOutcomeUnknown: the record
  /// is pending, and Retry must succeed before the next append. kFenced:
  /// another owner has written; this one must stop. kResourceExhausted: nothing
  /// was written, because the events are too large for one record or a snapshot
  /// must be written first.
  base::result<void> Append(std::vector<scheduling::event> events);

  /// Whether an append has neither succeeded nor definitely failed.
  bool HasPending() const { return pending_.has_value(); }

  /// Writes the pending record unless it already took effect. Safe to repeat,
  /// because a slot accepts a record only once. Fails with the errors of
  /// Append.
  base::result<void> Retry();

  bool IsSnapshotDue() const;

  /// Replaces all records so far by a snapshot of the events `retained`, which
  /// must lead to the same state. On any error the journal is unchanged.
  base::result<void> WriteSnapshot(
      const std::vector<scheduling::event>& retained);

 private:
  base::result<std::vector<record>> Read(epoch owner_epoch);
  base::result<void> Write(const record& written);
  base::result<void> ReadBack(const record& written, const base::error& cause);
  void Confirm(const record& written, coordination::version at);
  std::size_t SlotOf(sequence number) const;
  std::string KeyOf(sequence number) const;

  coordination::store& store_;
  std::string key_prefix_;
  std::string writer_;
  journal_limits limits_;
  snapshot_store snapshot_store_;
  epoch epoch_ = 0;
  sequence last_sequence_ = 0;
  bool opened_ = false;
  /// Store versions of the slots' keys, by slot.
  std::vector<coordination::version> slot_versions_;
  std::optional<record> pending_;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_
