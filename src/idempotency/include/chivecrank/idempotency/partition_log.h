#ifndef CHIVECRANK_IDEMPOTENCY_PARTITION_LOG_H_
#define CHIVECRANK_IDEMPOTENCY_PARTITION_LOG_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency {

namespace internal {
struct log_head;
}

/// Contents of a partition's log as a new owner finds it.
struct log_contents {
  std::vector<log_entry> entries;
  /// Whether the previous owner closed the log, or there was none.
  bool clean = true;
};

/// Last writer of a partition's log.
struct log_owner {
  std::string writer;
  bool closed = false;
};

/// Reads the owner of a partition; nothing if it never had one.
base::result<std::optional<log_owner>> ReadOwner(coordination::store& store,
                                                 partition_id number);

/// Log of one partition in the platform's store. Recent entries are in a head
/// value, older ones in sealed segments that the head lists. Every append is
/// one compare-and-swap of the head, so an owner that was replaced can't
/// append. Not thread-safe.
class partition_log {
 public:
  /// `writer` identifies this process; no other process ever uses it.
  partition_log(coordination::store& store,
                base::clock& clock,
                partition_id number,
                std::string writer,
                std::chrono::milliseconds retention);
  ~partition_log();

  /// Takes ownership of the partition with one read and one write of the head,
  /// and one listing of the segments if there are any.
  base::result<log_contents> Open();

  /// Appends entries in one write. kUnavailable: certainly not written.
  /// kOutcomeUnknown: they may have been written or may still be; call
  /// RetryWrite before anything else. kFenced: another owner has the partition.
  base::result<void> Append(const std::vector<log_entry>& entries);

  /// Repeats the write that failed. The compare-and-swap on the head's version
  /// applies it at most once.
  base::result<void> RetryWrite();

  /// Checks that this process still owns the partition; kFenced if not. Must
  /// not be called while the outcome of a write is unknown.
  base::result<void> CheckOwnership();

  /// Records that the intents of all sent requests are in the log, and gives up
  /// the partition.
  base::result<void> Close();

 private:
  base::result<void> WriteHead();
  base::result<void> ReadBack(const base::error& failure);
  void SealFullHead();
  void DropExpiredSegments();
  void DeleteUnlistedSegments(const coordination::store_listing& listing,
                              const std::vector<std::string>& listed_names);
  base::result<std::vector<log_entry>> ReadSegments(
      const std::vector<std::string>& listed_names);
  std::string HeadKey() const;
  std::string SegmentKey(const std::string& name) const;

  struct sealed_segment {
    std::string name;
    base::time_point retained_since;
  };

  coordination::store& store_;
  base::clock& clock_;
  const std::string prefix_;
  const std::string writer_;
  const std::chrono::milliseconds retention_;
  std::unique_ptr<internal::log_head> head_;
  coordination::version version_ = 0;
  std::uint64_t sealed_count_ = 0;
  std::vector<sealed_segment> segments_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_PARTITION_LOG_H_
