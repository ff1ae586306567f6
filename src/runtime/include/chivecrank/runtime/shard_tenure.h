#ifndef CHIVECRANK_RUNTIME_SHARD_TENURE_H_
#define CHIVECRANK_RUNTIME_SHARD_TENURE_H_

#include <algorithm>
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

/// A tenure, and when this instance saw its newest write.
struct known_tenure {
  tenure_record record;
  base::time_point seen_at;
};

struct shard_tenure_settings {
  /// How long earlier owners may act after this one acquired the shard.
  std::chrono::milliseconds settle_time{0};
  std::chrono::milliseconds retry_delay{150};
  /// Time between two writes of the record. Leases are counted from them.
  std::chrono::milliseconds renew_interval{1000};
};

/// Records the tenure of this instance as the owner of a shard: that it begins,
/// before any worker gets a lease, that it goes on, and later that it is
/// settled.
class shard_tenure {
 public:
  shard_tenure(reactor::event_loop& loop,
               metadata::store& store,
               event_log::event_log& log,
               std::uint32_t shard,
               metadata::revision fence,
               shard_tenure_settings settings);

  /// Records the begin. `earlier_ended`: the tenure is settled at once.
  void Begin(bool earlier_ended);
  /// Records that the tenure is settled, before earlier owners have run out of
  /// time; does nothing before the begin is recorded, or again.
  void Settle();
  /// Whether it is settled, or the record of that is on its way.
  bool IsSettling() const { return is_settling_; }
  /// The write that renews the record, if one is due. It must be conditional on
  /// the ownership.
  std::optional<metadata::write> RenewalDue() const;
  /// A write from RenewalDue, sent at `sent_at`, was applied.
  void OnRenewed(base::time_point sent_at) {
    recorded_at_ = std::max(recorded_at_, sent_at);
  }
  /// When the newest write of the record that was applied was sent; unset
  /// before the begin is recorded.
  base::time_point RecordedAt() const { return recorded_at_; }
  /// Whether the begin is recorded, so that leases may be granted.
  bool HasBegun() const { return has_begun_; }

 private:
  /// Renews the record without the journal while that makes no progress, so
  /// that leases don't depend on the journal.
  void RenewIfOverdue();
  void Commit(bool settled);
  void OnCommit(bool settled,
                base::time_point sent_at,
                base::result<metadata::commit_answer> answer);

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  const std::uint32_t shard_;
  const metadata::revision fence_;
  const shard_tenure_settings settings_;
  const base::time_point acquired_at_;
  base::time_point recorded_at_;
  bool has_begun_ = false;
  bool is_settling_ = false;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_TENURE_H_
