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

/// What a new owner finds in the log of a partition.
struct log_contents {
  std::vector<log_entry> entries;
  /// The former owner closed the log, or there was none.
  bool clean = true;
};

/// Who wrote the log of a partition last.
struct log_owner {
  std::string writer;
  bool closed = false;
};

/// Reads who owns a partition; nothing when nobody ever did.
base::result<std::optional<log_owner>> ReadOwner(coordination::store& store,
                                                 partition_id number);

/// The log of one partition in the platform's store. Recent entries are in a
/// head value, older ones in sealed segments that the head names. Every
/// append is one compare-and-swap of the head, so an owner that was replaced
/// can't append. Not safe to use from several threads.
class partition_log {
 public:
  /// `writer` names this process and is used by no other.
  partition_log(coordination::store& store,
                base::clock& clock,
                partition_id number,
                std::string writer,
                std::chrono::milliseconds retention);
  ~partition_log();

  /// Takes the partition over: one read of the head, one write, and one
  /// listing of the segments.
  base::result<log_contents> Open();

  /// Appends entries in one write. kUnavailable: certainly not written.
  /// kOutcomeUnknown: they may be written or be written yet; Retry before
  /// anything else. kFenced: another owner has the partition.
  base::result<void> Append(const std::vector<log_entry>& entries);

  /// Repeats the write that failed. The head's version admits it once.
  base::result<void> Retry();

  /// Reads whether the partition is still ours. kFenced when it is not. Not to
  /// be called while a write is in doubt.
  base::result<void> Check();

  /// Records that everything sent is in the log, and gives the partition up.
  base::result<void> Close();

 private:
  base::result<void> WriteHead();
  base::result<void> ReadBack(const base::error& doubt);
  void SealWhenFull();
  void DropExpired();
  void DeleteUnnamed(const coordination::store_listing& listing,
                     const std::vector<std::string>& named);
  base::result<std::vector<log_entry>> ReadSegments(
      const std::vector<std::string>& named);
  std::string HeadKey() const;
  std::string SegmentKey(const std::string& name) const;

  struct sealed_segment {
    std::string name;
    base::time_point since;
  };

  coordination::store& store_;
  base::clock& clock_;
  const std::string prefix_;
  const std::string writer_;
  const std::chrono::milliseconds retention_;
  std::unique_ptr<internal::log_head> head_;
  coordination::version version_ = 0;
  std::uint64_t sealed_ = 0;
  std::vector<sealed_segment> segments_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_PARTITION_LOG_H_
