#ifndef CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_
#define CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_

#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/journal/types.h"
#include "chivecrank/platform/store.h"

namespace chivecrank::journal {

/// Appends to and reads the journal of one shard. Each record is a key of its
/// own that is only ever created, so a former owner that writes late meets
/// the record of the new owner and learns that it was replaced.
/// Not safe to use from several threads.
class shard_journal {
 public:
  /// `writer` identifies this process run.
  shard_journal(platform::store& store, std::string shard, std::string writer);

  /// Reads all records and opens `owner_epoch` with a record of its own.
  /// Returns the records before it. kFenced when a newer epoch is open.
  base::result<std::vector<record>> Open(epoch owner_epoch);

  /// Commits events together. kUnavailable: not written. kOutcomeUnknown: it
  /// can't be told, and every later append fails until Open is called again.
  /// kFenced: another owner has written; this one must stop.
  base::result<void> Append(std::vector<scheduling::event> events);

 private:
  base::result<void> Write(const record& written);
  base::result<void> ReadBack(const record& written);
  std::string KeyOf(sequence number) const;

  platform::store& store_;
  std::string prefix_;
  std::string writer_;
  epoch epoch_ = 0;
  sequence last_ = 0;
  bool usable_ = false;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_SHARD_JOURNAL_H_
