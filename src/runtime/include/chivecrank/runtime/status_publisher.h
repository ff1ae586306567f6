#ifndef CHIVECRANK_RUNTIME_STATUS_PUBLISHER_H_
#define CHIVECRANK_RUNTIME_STATUS_PUBLISHER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/replica.h"

namespace chivecrank::runtime {

struct status_publisher_settings {
  /// Minimum time between two writes.
  std::chrono::milliseconds interval{700};
  /// Minimum time from a failed write to the next one.
  std::chrono::milliseconds retry_delay{150};
};

/// Publishes the status of an owned shard to all instances.
///
/// Each write is conditional on the status that it replaces. This orders the
/// writes of all owners: one that the store applies late finds another status
/// and fails, and an earlier owner can't replace the status of a later one. The
/// publisher compares the shard with the status that the store holds, so that
/// it replaces whatever differs from the shard, whoever wrote it.
///
/// All calls happen on the event loop's thread.
class status_publisher {
 public:
  struct hooks {
    /// The shard's status now, for all submissions that the replica shows,
    /// apart from fence and revisions.
    std::function<shard_status()> current;
    /// Whether the ownership is valid; called before every write.
    std::function<bool()> is_valid;
    /// The status in the store is that of a newer owner.
    std::function<void(std::string_view reason)> on_fenced;
  };

  status_publisher(reactor::event_loop& loop,
                   metadata::store& store,
                   const replica& shared,
                   event_log::event_log& log,
                   std::uint32_t shard,
                   metadata::revision fence,
                   status_publisher_settings settings,
                   hooks handlers);

  /// The replica shows another status of the shard, or shows the first one to
  /// this owner.
  void OnStored();
  /// A submission of the shard was accepted at `revision`. The next status says
  /// that its owner knows of it, so that readers can tell whether it has
  /// started.
  void OnAccepted(metadata::revision revision) {
    newest_accepted_ = std::max(newest_accepted_, revision);
  }
  /// Writes the status if it differs from the stored one or submissions were
  /// accepted since that, and no write is in flight or too recent.
  void PublishIfDue();

 private:
  void Write(shard_status status);
  void OnAnswer(shard_status written,
                const base::result<metadata::commit_answer>& answer);
  /// Learns which status is stored from an answer to a write that conflicted
  /// with it.
  void OnConflict(const metadata::commit_answer& answer);
  /// Takes `status` for the stored one unless a newer one is known.
  void Adopt(shard_status status);

  reactor::event_loop& loop_;
  metadata::store& store_;
  const replica& shared_;
  event_log::event_log& log_;
  const std::uint32_t shard_;
  const metadata::revision fence_;
  const status_publisher_settings settings_;
  const hooks hooks_;
  /// What the store holds as far as this owner knows; its revision is 0 while
  /// that is nothing.
  shard_status stored_;
  /// When the newest of the shard's submissions was accepted.
  metadata::revision newest_accepted_ = 0;
  bool in_flight_ = false;
  base::time_point due_at_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_STATUS_PUBLISHER_H_
