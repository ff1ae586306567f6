#include "chivecrank/runtime/shard_tenure.h"

#include <algorithm>
#include <utility>

#include "chivecrank/json/reader.h"
#include "chivecrank/json/writer.h"
#include "chivecrank/runtime/keys.h"

namespace chivecrank::runtime {

std::string EncodeTenure(const tenure_record& record) {
  json::writer text;
  text.BeginObject()
      .Field("fence", record.fence)
      .Flag("settled", record.settled)
      .Flag("released", record.released)
      .Flag("bounds_leases", record.bounds_leases)
      .EndObject();
  return text.Text();
}

std::optional<tenure_record> DecodeTenure(std::string_view text) {
  const auto parsed = json::ParseObject(text);
  if (!parsed)
    return std::nullopt;
  tenure_record record;
  record.fence = json::IntegerOf(parsed.value(), "fence");
  record.settled = json::BooleanOf(parsed.value(), "settled");
  record.released = json::BooleanOf(parsed.value(), "released");
  record.bounds_leases = json::BooleanOf(parsed.value(), "bounds_leases");
  return record;
}

metadata::write TenureWrite(std::uint32_t shard, const tenure_record& record) {
  return {TenureKey(shard), EncodeTenure(record)};
}

bool AllEarlierOwnersEnded(const std::optional<tenure_record>& last,
                           metadata::revision ended_fence) {
  if (!last || !last->settled)
    return false;
  return last->released || last->fence == ended_fence;
}

shard_tenure::shard_tenure(reactor::event_loop& loop,
                           metadata::store& store,
                           event_log::event_log& log,
                           std::uint32_t shard,
                           metadata::revision fence,
                           shard_tenure_settings settings)
    : loop_(loop),
      store_(store),
      log_(log),
      shard_(shard),
      fence_(fence),
      settings_(settings),
      acquired_at_(loop.Now()),
      guard_(loop) {}

void shard_tenure::Begin(bool earlier_ended, metadata::revision last_written) {
  is_settling_ = earlier_ended;
  stored_revision_ = last_written;
  Record();
}

void shard_tenure::Settle() {
  if (!has_begun_ || is_settling_)
    return;
  is_settling_ = true;
  Record();
}

void shard_tenure::Record() {
  const std::uint64_t attempt = ++attempts_;
  const base::time_point now = loop_.Now();
  if (!first_sent_at_)
    first_sent_at_ = now;
  metadata::transaction change;
  change.conditions.push_back(OwnershipCondition(shard_, fence_));
  change.conditions.push_back({TenureKey(shard_), stored_revision_});
  change.writes.push_back(
      TenureWrite(shard_, {.fence = fence_, .settled = is_settling_}));
  store_.Commit(std::move(change),
                guard_.Wrap([this, attempt, now, settled = is_settling_](
                                base::result<metadata::commit_answer> answer) {
                  OnAnswer(attempt, now, settled, answer);
                }));
  RecordLater(settings_.renew_interval, attempt);
}

void shard_tenure::RecordLater(std::chrono::milliseconds delay,
                               std::uint64_t attempt) {
  guard_.Later(delay, [this, attempt] {
    if (attempt == attempts_)
      Record();
  });
}

void shard_tenure::OnAnswer(
    std::uint64_t attempt,
    base::time_point sent_at,
    bool settled,
    const base::result<metadata::commit_answer>& answer) {
  if (!answer) {
    if (!has_begun_ || is_settling_ != is_settled_)
      RecordLater(settings_.retry_delay, attempt);
    return;
  }
  if (answer.value().applied)
    return OnRecorded(answer.value().at, sent_at, settled);
  const bool is_newest = attempt == attempts_;
  if (!OnConflict(answer.value())) {
    // Another owner: the driver learns that from its own commits.
    ++attempts_;
    return;
  }
  if (is_newest)
    Record();
}

bool shard_tenure::OnConflict(const metadata::commit_answer& answer) {
  const metadata::item* owner = answer.Current(OwnerKey(shard_));
  if (owner == nullptr || owner->changed_at != fence_)
    return false;
  const metadata::item* stored = answer.Current(TenureKey(shard_));
  if (stored == nullptr) {
    stored_revision_ = 0;
    return true;
  }
  const auto record = DecodeTenure(stored->value);
  if (record && record->fence == fence_ && first_sent_at_)
    // One of the writes since then, whose answer was lost.
    OnRecorded(stored->changed_at, *first_sent_at_, record->settled);
  stored_revision_ = std::max(stored_revision_, stored->changed_at);
  return true;
}

void shard_tenure::OnRecorded(metadata::revision revision,
                              base::time_point sent_at,
                              bool settled) {
  if (revision <= stored_revision_)
    return;
  stored_revision_ = revision;
  first_sent_at_.reset();
  recorded_at_ = std::max(recorded_at_, sent_at);
  if (settled && !std::exchange(is_settled_, true))
    log_.Write("tenure_settled", {{"shard", shard_}, {"fence", fence_}});
  if (std::exchange(has_begun_, true) || is_settling_)
    return;
  const base::duration left =
      acquired_at_ + settings_.settle_time - loop_.Now();
  guard_.Later(std::max(left, base::duration::zero()), [this] { Settle(); });
}

}  // namespace chivecrank::runtime
