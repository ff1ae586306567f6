#include "chivecrank/runtime/status_publisher.h"

#include <utility>

#include "chivecrank/runtime/keys.h"

namespace chivecrank::runtime {
status_publisher::status_publisher(reactor::event_loop& loop,
                                   metadata::store& store,
                                   const replica& shared,
                                   event_log::event_log& log,
                                   std::uint32_t shard,
                                   metadata::revision fence,
                                   status_publisher_settings settings,
                                   hooks handlers)
    : loop_(loop),
      store_(store),
      shared_(shared),
      log_(log),
      shard_(shard),
      fence_(fence),
      settings_(settings),
      hooks_(std::move(handlers)),
      guard_(loop) {}

void status_publisher::OnStored() {
  const auto status = shared_.Statuses().find(shard_);
  if (status != shared_.Statuses().end())
    Adopt(status->second);
}

void status_publisher::PublishIfDue() {
  if (in_flight_ || loop_.Now() < due_at_ || !hooks_.is_valid())
    return;
  if (stored_.fence > fence_)
    return hooks_.on_fenced("the shard's status is that of a newer owner");
  shard_status status = hooks_.current();
  status.fence = fence_;
  // So that they are equal if they tell the same.
  status.as_of = stored_.as_of;
  status.written_revision = stored_.written_revision;
  if (status == stored_ && newest_accepted_ <= stored_.as_of)
    return;
  status.as_of = shared_.Revision();
  Write(std::move(status));
}

void status_publisher::Write(shard_status status) {
  log_.Write("shard_load", {{"shard", shard_},
                            {"replaces", stored_.written_revision},
                            {"capacity_milli", status.capacity_milli},
                            {"reserved_milli", status.reserved_milli},
                            {"not_started", status.not_started.size()}});
  metadata::transaction change;
  change.conditions.push_back({StatusKey(shard_), stored_.written_revision});
  change.writes.push_back({StatusKey(shard_), EncodeShardStatus(status)});
  in_flight_ = true;
  due_at_ = loop_.Now() + settings_.interval;
  store_.Commit(std::move(change),
                guard_.Wrap([this, written = std::move(status)](
                                base::result<metadata::commit_answer> answer) {
                  OnAnswer(written, answer);
                }));
}

void status_publisher::OnAnswer(
    shard_status written,
    const base::result<metadata::commit_answer>& answer) {
  in_flight_ = false;
  if (!answer) {
    log_.Write("store_write_failed",
               {{"call", "status"}, {"error", answer.error().message}});
    due_at_ = loop_.Now() + settings_.retry_delay;
    return;
  }
  if (!answer.value().applied)
    return OnConflict(answer.value());
  written.written_revision = answer.value().at;
  Adopt(std::move(written));
}

void status_publisher::OnConflict(const metadata::commit_answer& answer) {
  due_at_ = loop_.Now();
  const metadata::item* found = answer.Current(StatusKey(shard_));
  if (found == nullptr) {
    stored_ = {};
    return;
  }
  shard_status status = DecodeShardStatus(*found).value_or(shard_status{});
  status.written_revision = found->changed_at;
  Adopt(std::move(status));
}

void status_publisher::Adopt(shard_status status) {
  if (status.written_revision <= stored_.written_revision)
    return;
  stored_ = std::move(status);
  log_.Write("shard_load_stored",
             {{"shard", shard_},
              {"revision", stored_.written_revision},
              {"fence", stored_.fence},
              {"reserved_milli", stored_.reserved_milli},
              {"not_started", stored_.not_started.size()}});
}

}  // namespace chivecrank::runtime
