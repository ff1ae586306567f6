#include "chivecrank/runtime/shard_tenure.h"

#include <algorithm>
#include <utility>

#include "chivecrank/json/reader.h"
#include "chivecrank/json/writer.h"
#include "chivecrank/runtime/keys.h"

namespace chivecrank::runtime {
namespace {

/// In intervals between two renewals.
constexpr int kOverdueAfter = 2;

}  // namespace

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
  return {ToString({key_kind::kTenure, ShardName(shard)}),
          EncodeTenure(record)};
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

void shard_tenure::Begin(bool earlier_ended) {
  is_settling_ = earlier_ended;
  Commit(earlier_ended);
}

void shard_tenure::Settle() {
  if (!has_begun_ || is_settling_)
    return;
  is_settling_ = true;
  Commit(true);
}

void shard_tenure::RenewIfOverdue() {
  guard_.Later(settings_.renew_interval, [this] { RenewIfOverdue(); });
  if (loop_.Now() - recorded_at_ < kOverdueAfter * settings_.renew_interval)
    return;
  metadata::transaction change;
  change.conditions.push_back(OwnershipCondition(shard_, fence_));
  change.writes.push_back(
      TenureWrite(shard_, {.fence = fence_, .settled = is_settling_}));
  store_.Commit(std::move(change),
                guard_.Wrap([this, sent_at = loop_.Now()](
                                base::result<metadata::commit_answer> answer) {
                  // A failure is followed by another try at the next interval.
                  if (answer && answer.value().applied)
                    OnRenewed(sent_at);
                }));
}

std::optional<metadata::write> shard_tenure::RenewalDue() const {
  if (!has_begun_ || loop_.Now() - recorded_at_ < settings_.renew_interval)
    return std::nullopt;
  return TenureWrite(shard_, {.fence = fence_, .settled = is_settling_});
}

void shard_tenure::Commit(bool settled) {
  metadata::transaction change;
  change.conditions.push_back(OwnershipCondition(shard_, fence_));
  change.writes.push_back(
      TenureWrite(shard_, {.fence = fence_, .settled = settled}));
  store_.Commit(std::move(change),
                guard_.Wrap([this, settled, sent_at = loop_.Now()](
                                base::result<metadata::commit_answer> answer) {
                  OnCommit(settled, sent_at, std::move(answer));
                }));
}

void shard_tenure::OnCommit(bool settled,
                            base::time_point sent_at,
                            base::result<metadata::commit_answer> answer) {
  if (!answer)
    return guard_.Later(settings_.retry_delay,
                        [this, settled] { Commit(settled); });
  // Another owner: the driver learns that from its own commits.
  if (!answer.value().applied)
    return;
  OnRenewed(sent_at);
  if (!std::exchange(has_begun_, true))
    RenewIfOverdue();
  if (settled) {
    log_.Write("tenure_settled", {{"shard", shard_}, {"fence", fence_}});
    return;
  }
  const base::duration left =
      acquired_at_ + settings_.settle_time - loop_.Now();
  guard_.Later(std::max(left, base::duration::zero()), [this] { Settle(); });
}

}  // namespace chivecrank::runtime
