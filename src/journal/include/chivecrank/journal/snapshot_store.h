#ifndef CHIVECRANK_JOURNAL_SNAPSHOT_STORE_H_
#define CHIVECRANK_JOURNAL_SNAPSHOT_STORE_H_

#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/journal/types.h"

namespace chivecrank::journal {

/// Snapshots of a shard: parts under keys of their own, and a head that names
/// the one in force. Not safe to use from several threads.
class snapshot_store {
 public:
  snapshot_store(coordination::store& store,
                 const std::string& shard,
                 std::size_t value_bytes);

  /// Reads the snapshot in force; a record without events at sequence 0 when
  /// there is none. kCorrupt when a part is missing or can't be read.
  base::result<std::vector<record>> Read();

  /// Writes a snapshot of everything up to `from.sequence` and puts it in
  /// force. On kOutcomeUnknown either one may be; both are whole.
  base::result<void> Write(const record& from);

  /// The last record that the snapshot in force covers; 0 for none.
  sequence covered() const { return covered_; }

 private:
  base::result<void> WritePart(const std::string& key,
                               const std::string& value);
  base::result<void> WriteHead(const record& from, std::size_t parts);
  base::result<std::vector<record>> ReadParts(sequence covered,
                                              epoch by,
                                              std::size_t count);
  void DropOlder(const record& kept);

  coordination::store& store_;
  std::string head_key_;
  std::string prefix_;
  std::size_t value_bytes_;
  coordination::version head_version_ = 0;
  sequence covered_ = 0;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_SNAPSHOT_STORE_H_
