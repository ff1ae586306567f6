#ifndef CHIVECRANK_RUNTIME_FEED_H_
#define CHIVECRANK_RUNTIME_FEED_H_

#include <functional>
#include <string>
#include <vector>

#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/prefix_listing.h"

namespace chivecrank::runtime {

/// What a feed tells its reader.
struct feed_hooks {
  /// All items under the prefix as of now.
  std::function<void(const std::vector<metadata::item>&)> on_listed;
  std::function<void(const metadata::change&)> on_change;
  /// Everything up to this revision has been handed on.
  std::function<void(metadata::revision)> on_revision;
  /// Whether changes are waited for now; may be empty.
  std::function<bool()> is_urgent;
};

struct feed_settings {
  std::string prefix;
  /// How long the store may hold a watch; also how soon a dead connection is
  /// noticed.
  std::chrono::milliseconds wait{1500};
  /// Shortest time between two watches, so that changes come together; shorter
  /// while someone waits for them.
  std::chrono::milliseconds spacing{120};
  std::chrono::milliseconds urgent_spacing{30};
  /// Time before the next attempt after an error.
  std::chrono::milliseconds retry{250};
};

/// Follows a prefix of the store: lists it, then watches it, and lists it anew
/// when the store has dropped the history in between.
class feed {
 public:
  feed(reactor::event_loop& loop,
       metadata::store& store,
       feed_settings settings,
       feed_hooks hooks);

  void Start();
  /// The last call succeeded, and the prefix was listed.
  bool IsCurrent() const { return listed_ && !failing_; }

 private:
  void OnListed(base::result<prefix_listing> listing);
  void Watch();
  void OnChanges(base::result<metadata::change_list> list);

  metadata::store& store_;
  const feed_settings settings_;
  const feed_hooks hooks_;
  metadata::revision revision_ = 0;
  bool listed_ = false;
  bool failing_ = false;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_FEED_H_
