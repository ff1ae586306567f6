#include "chivecrank/runtime/worker_directory.h"

#include <utility>

#include "chivecrank/runtime/departure.h"

namespace chivecrank::runtime {

worker_directory::worker_directory(reactor::event_loop& loop,
                                   metadata::store& store,
                                   event_log::event_log& log,
                                   worker_source source,
                                   worker_directory_settings settings)
    : loop_(loop),
      store_(store),
      log_(log),
      source_(std::move(source)),
      settings_(settings),
      guard_(loop) {}

void worker_directory::Start(std::function<bool()> is_needed,
                             std::function<void()> on_listed) {
  is_needed_ = std::move(is_needed);
  on_listed_ = std::move(on_listed);
  Poll();
}

void worker_directory::Refresh(base::time_point wanted_as_of) {
  if (listing_ && sent_at_ >= wanted_as_of)
    return;
  loop_.Cancel(next_poll_);
  Poll();
}

void worker_directory::Poll() {
  if (!is_needed_())
    return SchedulePoll();
  listing_ = true;
  sent_at_ = loop_.Now();
  ListAll(store_, source_.prefix,
          guard_.Wrap(
              [this, sent_at = sent_at_](base::result<prefix_listing> listing) {
                if (sent_at == sent_at_)
                  OnListed(std::move(listing));
              }));
}

void worker_directory::OnListed(base::result<prefix_listing> listing) {
  listing_ = false;
  if (listing) {
    as_of_ = sent_at_;
    Publish(listing.value().items);
  } else {
    last_failure_at_ = loop_.Now();
  }
  SchedulePoll();
}

void worker_directory::Publish(const std::vector<metadata::item>& items) {
  worker_map now;
  std::map<std::string, metadata::revision> rejected;
  for (const metadata::item& item : items) {
    const std::string id = item.key.substr(source_.prefix.size());
    auto worker = source_.decode(id, item.value);
    if (!worker) {
      ReportRejected(item, worker.error());
      rejected[item.key] = item.changed_at;
      continue;
    }
    const auto known = workers_.find(id);
    UpdateDeparture(worker.value(),
                    known == workers_.end() ? nullptr : &known->second,
                    loop_.Now());
    now.emplace(id, std::move(worker.value()));
  }
  if (loop_.Now() - last_failure_at_ < settings_.reappearance_grace)
    now.merge(workers_);
  for (const auto& [id, worker] : now)
    if (!workers_.contains(id))
      log_.Write("worker_listed",
                 {{"worker", id}, {"born_ms", worker.started_at_ms}});
  for (const auto& [id, worker] : workers_)
    if (!now.contains(id))
      log_.Write("worker_unlisted", {{"worker", id}});
  workers_ = std::move(now);
  rejected_ = std::move(rejected);
  on_listed_();
}

void worker_directory::ReportRejected(const metadata::item& entry,
                                      const base::error& reason) const {
  const auto known = rejected_.find(entry.key);
  if (known != rejected_.end() && known->second == entry.changed_at)
    return;
  log_.Write("worker_entry_rejected",
             {{"worker", entry.key.substr(source_.prefix.size())},
              {"error", reason.message}});
}

void worker_directory::SchedulePoll() {
  loop_.Cancel(next_poll_);
  next_poll_ = loop_.After(settings_.interval, guard_.Wrap([this] { Poll(); }));
}

}  // namespace chivecrank::runtime
