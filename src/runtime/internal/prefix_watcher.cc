#include "chivecrank/runtime/prefix_watcher.h"

#include <utility>

namespace chivecrank::runtime {

prefix_watcher::prefix_watcher(reactor::event_loop& loop,
                               metadata::store& store,
                               prefix_watcher_settings settings,
                               prefix_watcher_hooks hooks)
    : loop_(loop),
      store_(store),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      guard_(loop) {}

void prefix_watcher::Start() {
  ListAll(store_, settings_.prefix,
          guard_.Wrap([this, number = ++listing_, sent = loop_.Now()](
                          base::result<prefix_listing> listing) {
            if (number == listing_)
              OnListed(std::move(listing), sent);
          }));
}

void prefix_watcher::OnListed(base::result<prefix_listing> listing,
                              base::time_point sent) {
  failing_ = !listing;
  if (!listing)
    return guard_.Later(settings_.retry_delay, [this] { Start(); });
  hooks_.on_listed(listing.value().items);
  // Watching from the first page's revision covers changes made while the later
  // pages were read.
  revision_ = listing.value().start_revision;
  listed_ = true;
  hooks_.on_revision(revision_);
  ReportCurrent(sent);
  Watch();
}

void prefix_watcher::Refresh() {
  if (listed_)
    Watch();
}

void prefix_watcher::Watch() {
  // After a failure the answer shows at once what was missed.
  const auto wait =
      failing_ ? std::chrono::milliseconds(0) : settings_.max_wait;
  store_.Watch(settings_.prefix, revision_, wait,
               guard_.Wrap([this, watch = ++watch_, sent = loop_.Now()](
                               base::result<metadata::change_list> list) {
                 if (watch == watch_)
                   OnChanges(std::move(list), sent);
               }));
}

void prefix_watcher::WatchLater(std::chrono::milliseconds delay) {
  guard_.Later(delay, [this, watch = watch_] {
    if (watch == watch_)
      Watch();
  });
}

void prefix_watcher::ReportCurrent(base::time_point sent) {
  if (hooks_.on_current)
    hooks_.on_current(sent);
}

void prefix_watcher::OnChanges(base::result<metadata::change_list> list,
                               base::time_point sent) {
  if (!list) {
    failing_ = true;
    return WatchLater(settings_.retry_delay);
  }
  failing_ = false;
  if (list.value().history_gone)
    return Start();
  for (const metadata::change& change : list.value().changes)
    hooks_.on_change(change);
  revision_ = std::max(revision_, list.value().current);
  hooks_.on_revision(revision_);
  ReportCurrent(sent);
  const bool urgent = hooks_.is_urgent && hooks_.is_urgent();
  WatchLater(urgent ? settings_.urgent_watch_interval
                    : settings_.watch_interval);
}

}  // namespace chivecrank::runtime
