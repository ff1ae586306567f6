#include "chivecrank/runtime/feed.h"

#include <utility>

namespace chivecrank::runtime {

feed::feed(reactor::event_loop& loop,
           metadata::store& store,
           feed_settings settings,
           feed_hooks hooks)
    : store_(store),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      guard_(loop) {}

void feed::Start() {
  ListAll(store_, settings_.prefix,
          guard_.Wrap([this](base::result<prefix_listing> listing) {
            OnListed(std::move(listing));
          }));
}

void feed::OnListed(base::result<prefix_listing> listing) {
  failing_ = !listing;
  if (!listing)
    return guard_.Later(settings_.retry, [this] { Start(); });
  hooks_.on_listed(listing.value().items);
  // What changed while the pages were read is watched.
  revision_ = listing.value().began;
  listed_ = true;
  hooks_.on_revision(revision_);
  Watch();
}

void feed::Watch() {
  store_.Watch(settings_.prefix, revision_, settings_.wait,
               guard_.Wrap([this](base::result<metadata::change_list> list) {
                 OnChanges(std::move(list));
               }));
}

void feed::OnChanges(base::result<metadata::change_list> list) {
  if (!list) {
    failing_ = true;
    return guard_.Later(settings_.retry, [this] { Watch(); });
  }
  failing_ = false;
  if (list.value().history_gone)
    return Start();
  for (const metadata::change& change : list.value().changes)
    hooks_.on_change(change);
  revision_ = std::max(revision_, list.value().current);
  hooks_.on_revision(revision_);
  const bool urgent = hooks_.is_urgent && hooks_.is_urgent();
  guard_.Later(urgent ? settings_.urgent_spacing : settings_.spacing,
               [this] { Watch(); });
}

}  // namespace chivecrank::runtime
