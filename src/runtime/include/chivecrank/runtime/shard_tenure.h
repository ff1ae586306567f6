#ifndef CHIVECRANK_RUNTIME_SHARD_TENURE_H_
#define CHIVECRANK_RUNTIME_SHARD_TENURE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::runtime {

/// What the last owner of a shard that may have granted leases to workers
/// recorded about itself and its predecessors.
struct tenure_record {
  /// The owner's fence.
  metadata::revision fence = 0;
  /// Nothing that an earlier owner may still do can prolong a run of the shard.
  bool settled = false;
  /// The owner has given the shard up and acts for it no more.
  bool released = false;
  /// The owner grants leases within lease_horizon, counted from its writes of
  /// this record. Owners of older programs don't.
  bool bounds_leases = true;

  bool operator==(const tenure_record&) const = default;
};

std::string EncodeTenure(const tenure_record& record);
std::optional<tenure_record> DecodeTenure(std::string_view text);

/// The write that records a tenure of the shard.
metadata::write TenureWrite(std::uint32_t shard, const tenure_record& record);

/// Whether no owner before the new one can prolong a run of the shard any more.
/// `ended_fence` is the fence of an owner that is known to have ended; 0 for
/// none.
bool AllEarlierOwnersEnded(const std::optional<tenure_record>& last,
                           metadata::revision ended_fence);

/// A stored tenure.
struct known_tenure {
  tenure_record record;
  /// Revision of its newest write, and when this instance saw that.
  metadata::revision written_revision = 0;
  base::time_point seen_at;
};

struct shard_tenure_settings {
  /// How long earlier owners may act after this one acquired the shard.
  std::chrono::milliseconds settle_time{0};
  /// Time from a failed write to the next one while the begin or the end of the
  /// settling is not recorded.
  std::chrono::milliseconds retry_delay{150};
  /// Time between two writes of the record. Leases are counted from them.
  std::chrono::milliseconds renew_interval{1000};
};

/// Records the tenure of this instance as the owner of a shard: that it begins,
/// before any worker gets a lease, that it goes on, and later that it is
/// settled.
///
/// Each write is conditional on the ownership and on the record that it
/// replaces, so that one that the store applies late can't undo a newer one.
/// Writes don't wait for each other: while one is unanswered, the next has the
/// same condition, and the store applies one of them.
class shard_tenure {
 public:
  shard_tenure(reactor::event_loop& loop,
               metadata::store& store,
               event_log::event_log& log,
               std::uint32_t shard,
               metadata::revision fence,
               shard_tenure_settings settings);

  /// Records the begin. `earlier_ended`: the tenure is settled at once.
  /// `last_written`: the revision of the last owner's record; 0 if there is
  /// none.
  void Begin(bool earlier_ended, metadata::revision last_written);
  /// Records that the tenure is settled, before earlier owners have run out of
  /// time; does nothing before the begin is recorded, or again.
  void Settle();
  /// Whether it is settled, or the record of that is on its way.
  bool IsSettling() const { return is_settling_; }
  /// When the newest write of the record that was applied was sent, or an
  /// earlier time; unset before the begin is recorded.
  base::time_point RecordedAt() const { return recorded_at_; }
  /// Whether the begin is recorded, so that leases may be granted.
  bool HasBegun() const { return has_begun_; }

 private:
  /// Writes the record now, and again after the renewal interval.
  void Record();
  /// Writes the record after `delay` unless it was written since `attempt`.
  void RecordLater(std::chrono::milliseconds delay, std::uint64_t attempt);
  void OnAnswer(std::uint64_t attempt,
                base::time_point sent_at,
                bool settled,
                const base::result<metadata::commit_answer>& answer);
  /// Learns from a failed condition what is stored; returns whether this
  /// instance still owns the shard.
  bool OnConflict(const metadata::commit_answer& answer);
  /// The record of this tenure that was written at `revision` is stored.
  void OnRecorded(metadata::revision revision,
                  base::time_point sent_at,
                  bool settled);

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  const std::uint32_t shard_;
  const metadata::revision fence_;
  const shard_tenure_settings settings_;
  const base::time_point acquired_at_;
  /// Number of the newest write.
  std::uint64_t attempts_ = 0;
  /// Revision of the stored record as far as this owner knows.
  metadata::revision stored_revision_ = 0;
  /// When the first write on the condition of that record was sent.
  std::optional<base::time_point> first_sent_at_;
  base::time_point recorded_at_;
  bool has_begun_ = false;
  bool is_settling_ = false;
  bool is_settled_ = false;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_TENURE_H_
