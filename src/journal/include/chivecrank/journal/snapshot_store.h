#ifndef CHIVECRANK_JOURNAL_SNAPSHOT_STORE_H_
#define CHIVECRANK_JOURNAL_SNAPSHOT_STORE_H_

#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/journal/types.h"

namespace chivecrank::journal {

/// Stores snapshots of a shard: parts under keys of their own, and a head key
/// that names the current snapshot. Not safe to use from several threads.
class snapshot_store {
 public:
  snapshot_store(coordination::store& store,
                 const std::string& shard,
                 std::size_t value_bytes);

  /// Reads the parts of the current snapshot; empty if there is none. kCorrupt:
  /// a part is missing or unreadable.
  base::result<std::vector<record>> Read();

  /// Writes a snapshot of everything up to `snapshot.sequence` and makes it the
  /// current one. On kOutcomeUnknown either the old or the new snapshot is
  /// current; both are complete.
  base::result<void> Write(const record& snapshot);

  /// Sequence number of the last record that the current snapshot covers; 0 if
  /// there is none.
  sequence covered_sequence() const { return covered_sequence_; }

 private:
  base::result<void> WritePart(const std::string& key,
                               const std::string& value);
  base::result<void> WriteHead(const record& snapshot, std::size_t parts);
  base::result<std::vector<record>> ReadParts(sequence covered_sequence,
                                              epoch owner_epoch,
                                              std::size_t count);
  void DeleteOlder(const record& current);

  coordination::store& store_;
  std::string head_key_;
  std::string key_prefix_;
  std::size_t value_bytes_;
  coordination::version head_version_ = 0;
  sequence covered_sequence_ = 0;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_SNAPSHOT_STORE_H_
