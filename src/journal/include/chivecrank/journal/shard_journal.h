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

/// Appends to and reads the journal of one shard. Records take turns on a
/// fixed ring of keys, each written by compare-and-swap against what the slot
/// held before, so a former owner that writes late meets the record of the
/// new owner and learns that it was replaced.
/// Not safe to use from several threads.
class shard_journal {
 public:
  /// `writer` identifies this process run.
  shard_journal(coordination::store& store,
                const std::string& shard,
                std::string writer,
                journal_limits limits = {});

  /// Reads the snapshot and the records after it and opens `owner_epoch` with
  /// a record of its own. Returns what came before, in order. kFenced when a
  /// newer epoch is open; kCorrupt when a record can't be read or is missing.
  base::result<std::vector<record>> Open(epoch owner_epoch);

  /// Commits events together. kUnavailable, kOutcomeUnknown: the record waits
  /// and Retry must succeed before the next append. kFenced: another owner has
  /// written; this one must stop. kResourceExhausted: nothing was written; the
  /// events are too large for one record or a snapshot is due first.
  base::result<void> Append(std::vector<scheduling::event> events);

  /// Whether an append has neither succeeded nor failed for good.
  bool HasPending() const { return pending_.has_value(); }

  /// Writes the waiting record unless it took effect already. Safe to repeat:
  /// a slot takes a record only once. Errors as of Append.
  base::result<void> Retry();

  bool WantsSnapshot() const;

  /// Replaces all records so far by `retained`, which must lead to the same
  /// state. On any error the journal stays as it was.
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
  std::string prefix_;
  std::string writer_;
  journal_limits limits_;
  snapshot_store snapshots_;
  epoch epoch_ = 0;
  sequence last_ = 0;
  bool opened_ = false;
  /// Versions of the slots' keys.
  std::vector<coordination::version> versions_;
  std::optional<record> pending_;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_
