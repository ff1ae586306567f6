#include "chivecrank/runtime/shard_housekeeping.h"

#include <algorithm>
#include <map>
#include <utility>

#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::runtime {
namespace {

/// Submissions that are being given to other shards at once.
constexpr std::size_t kMovesInFlight = 4;
/// Room that another shard must have, in times of what the submission reserves.
constexpr std::int64_t kRoomForMove = 2;
/// Keys of one submission: its record, its end, its cancellation.
constexpr std::size_t kKeysOfSubmission = 3;

}  // namespace

shard_housekeeping::shard_housekeeping(reactor::event_loop& loop,
                                       metadata::store& store,
                                       const replica& shared,
                                       event_log::event_log& log,
                                       submissions::shard_scheduler& scheduler,
                                       std::uint32_t shard,
                                       metadata::revision fence,
                                       housekeeping_settings settings,
                                       std::function<bool()> is_valid)
    : loop_(loop),
      store_(store),
      shared_(shared),
      log_(log),
      scheduler_(scheduler),
      shard_(shard),
      fence_(fence),
      settings_(settings),
      is_valid_(std::move(is_valid)),
      guard_(loop) {}

void shard_housekeeping::Start() {
  guard_.Later(settings_.clean_interval, [this] { DeleteEnded(); });
}

void shard_housekeeping::NoteEnded(const std::string& id) {
  ended_.push_back({id, loop_.Now()});
}

void shard_housekeeping::DeleteEnded() {
  guard_.Later(settings_.clean_interval, [this] { DeleteEnded(); });
  if (!is_valid_())
    return;
  metadata::transaction removal;
  removal.conditions.push_back(OwnedSince(shard_, fence_));
  const base::time_point now = loop_.Now();
  while (!ended_.empty() &&
         now - ended_.front().since >= settings_.keep_ended &&
         removal.Entries() + kKeysOfSubmission <=
             metadata::kMaxTransactionEntries) {
    for (const key_kind kind :
         {key_kind::kSubmission, key_kind::kOutcome, key_kind::kCancellation})
      removal.deletes.push_back(ToString({kind, ended_.front().id}));
    ended_.pop_front();
  }
  if (removal.deletes.empty())
    return;
  // What a failure leaves is found by the shard's next owner.
  store_.Commit(
      std::move(removal),
      guard_.Wrap([this](base::result<metadata::commit_answer> answer) {
        if (!answer)
          log_.Write("clean_failed",
                     {{"shard", shard_}, {"error", answer.error().message}});
      }));
}

void shard_housekeeping::MoveStranded() {
  if (!is_valid_())
    return;
  std::map<std::uint32_t, std::int64_t> room;
  for (const auto& [shard, status] : shared_.Statuses())
    if (shard != shard_)
      room[shard] = status.capacity_milli - status.reserved_milli;
  for (const auto& stranded :
       scheduler_.UnplacedSubmissions(loop_.Now(), settings_.move_after)) {
    if (moves_in_flight_ >= kMovesInFlight)
      return;
    const auto roomiest = std::ranges::max_element(
        room, {}, [](const auto& entry) { return entry.second; });
    if (roomiest == room.end() ||
        roomiest->second < kRoomForMove * stranded.reserved_milli)
      return;
    roomiest->second -= stranded.reserved_milli;
    Move(stranded.id, roomiest->first);
  }
}

void shard_housekeeping::Move(const std::string& id, std::uint32_t to) {
  const known_submission* known = shared_.Find(id);
  if (known == nullptr || known->Ended() || !scheduler_.BeginMove(id))
    return;
  auto record = submissions::DecodeSubmission(known->record);
  if (!record)
    return;
  record.value().shard = to;
  metadata::transaction change;
  change.conditions.push_back(OwnedSince(shard_, fence_));
  const std::string key = ToString({key_kind::kSubmission, id});
  change.conditions.push_back({key, known->accepted_at});
  change.writes.push_back({key, EncodeAccepted(record.value())});
  log_.Write("submission_moved",
             {{"submission", id}, {"from_shard", shard_}, {"to_shard", to}});
  ++moves_in_flight_;
  CommitMove(id, std::move(change));
}

void shard_housekeeping::CommitMove(const std::string& id,
                                    metadata::transaction change) {
  store_.Commit(change,
                guard_.Wrap([this, id, change](
                                base::result<metadata::commit_answer> answer) {
                  OnMove(id, change, std::move(answer));
                }));
}

void shard_housekeeping::OnMove(const std::string& id,
                                const metadata::transaction& change,
                                base::result<metadata::commit_answer> answer) {
  if (!answer && !is_valid_())
    return;
  // The same again: its conditions let it happen only once.
  if (!answer)
    return guard_.Later(settings_.retry,
                        [this, id, change] { CommitMove(id, change); });
  --moves_in_flight_;
  // When it was not applied it was moved by an attempt before, which the
  // replica tells, or the ownership is gone.
  if (answer.value().applied)
    scheduler_.FinishMove(id);
}

}  // namespace chivecrank::runtime
