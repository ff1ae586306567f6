#ifndef CHIVECRANK_RUNTIME_PREFIX_WATCHER_H_
#define CHIVECRANK_RUNTIME_PREFIX_WATCHER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/prefix_listing.h"

namespace chivecrank::runtime {

/// Callbacks of a prefix_watcher, run on the event loop.
struct prefix_watcher_hooks {
  /// Receives all items under the prefix; items known earlier that are missing
  /// were deleted.
  std::function<void(const std::vector<metadata::item>&)> on_listed;
  std::function<void(const metadata::change&)> on_change;
  /// All changes up to this revision have been delivered.
  std::function<void(metadata::revision)> on_revision;
  /// All changes up to this time have been delivered; may be empty.
  std::function<void(base::time_point as_of)> on_current;
  /// Whether changes are needed quickly, which selects urgent_watch_interval;
  /// may be empty.
  std::function<bool()> is_urgent;
};

struct prefix_watcher_settings {
  std::string prefix;
  /// How long the store may hold a watch request. This also bounds the time
  /// until a dead connection is noticed.
  std::chrono::milliseconds max_wait{1500};
  /// Minimum time between two watch requests, so that one answer carries
  /// several changes; the urgent interval applies while is_urgent() holds.
  std::chrono::milliseconds watch_interval{120};
  std::chrono::milliseconds urgent_watch_interval{30};
  /// Time before a failed request is repeated.
  std::chrono::milliseconds retry_delay{250};
};

/// Follows a prefix of the store: lists it, then watches it, and lists it again
/// when the store has discarded the history since the last seen revision.
class prefix_watcher {
 public:
  prefix_watcher(reactor::event_loop& loop,
                 metadata::store& store,
                 prefix_watcher_settings settings,
                 prefix_watcher_hooks hooks);

  void Start();
  /// Watches anew at once and ignores the answer to the request in flight,
  /// which may be held for long by a connection that went silent.
  void Refresh();
  /// Whether the prefix has been listed and the last request succeeded.
  bool IsCurrent() const { return listed_ && !failing_; }

 private:
  void OnListed(base::result<prefix_listing> listing, base::time_point sent);
  void Watch();
  void WatchLater(std::chrono::milliseconds delay);
  void OnChanges(base::result<metadata::change_list> list,
                 base::time_point sent);
  void ReportCurrent(base::time_point sent);

  reactor::event_loop& loop_;
  metadata::store& store_;
  const prefix_watcher_settings settings_;
  const prefix_watcher_hooks hooks_;
  metadata::revision revision_ = 0;
  bool listed_ = false;
  bool failing_ = false;
  /// Numbers of the newest listing and of the newest watch request; answers to
  /// earlier ones are ignored.
  std::uint64_t listing_ = 0;
  std::uint64_t watch_ = 0;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_PREFIX_WATCHER_H_
