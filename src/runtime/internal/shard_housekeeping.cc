#include "chivecrank/runtime/shard_housekeeping.h"

#include <algorithm>
#include <map>
#include <utility>

#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::runtime {
namespace {

/// Maximum number of moves in progress at once.
constexpr std::size_t kMaxMovesInFlight = 8;
/// Keys of one submission: its record, its outcome and its cancellation.
constexpr std::size_t kKeysPerSubmission = 3;

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
  guard_.Later(settings_.deletion_interval, [this] { DeleteEnded(); });
}

void shard_housekeeping::RecordEnded(const std::string& id) {
  ended_.push_back({id, loop_.Now()});
}

void shard_housekeeping::DeleteEnded() {
  guard_.Later(settings_.deletion_interval, [this] { DeleteEnded(); });
  if (!is_valid_())
    return;
  metadata::transaction removal;
  removal.conditions.push_back(OwnershipCondition(shard_, fence_));
  const base::time_point now = loop_.Now();
  while (!ended_.empty() &&
         now - ended_.front().since >= settings_.ended_retention &&
         removal.Entries() + kKeysPerSubmission <=
             metadata::kMaxTransactionEntries) {
    for (const key_kind kind :
         {key_kind::kSubmission, key_kind::kOutcome, key_kind::kCancellation})
      removal.deletes.push_back(ToString({kind, ended_.front().id}));
    ended_.pop_front();
  }
  if (removal.deletes.empty())
    return;
  // Keys that remain after a failure are deleted by the shard's next owner.
  store_.Commit(
      std::move(removal),
      guard_.Wrap([this](base::result<metadata::commit_answer> answer) {
        if (!answer)
          log_.Write("clean_failed",
                     {{"shard", shard_}, {"error", answer.error().message}});
      }));
}

void shard_housekeeping::MoveUnplaced() {
  if (!is_valid_())
    return;
  std::map<std::uint32_t, shard_room> rooms;
  for (const auto& [shard, status] : shared_.Statuses())
    rooms[shard] = RoomOf(status);
  const auto min_wait = [this](const submissions::submission& request) {
    return MoveDelay(request);
  };
  for (const submissions::submission* unplaced :
       scheduler_.UnplacedSubmissions(loop_.Now(), min_wait)) {
    if (moves_in_flight_ >= kMaxMovesInFlight)
      return;
    const auto target = ShardToMoveTo(rooms, shard_, *unplaced);
    if (!target)
      continue;
    rooms[*target].assigned_milli += submissions::ReservedMilli(*unplaced);
    Move(unplaced->id, *target);
  }
}

std::chrono::milliseconds shard_housekeeping::MoveDelay(
    const submissions::submission& request) const {
  const bool lasts = std::ranges::any_of(
      request.steps, &submissions::step_request::long_running);
  return lasts ? settings_.move_delay : settings_.short_move_delay;
}

void shard_housekeeping::Move(const std::string& id,
                              std::uint32_t target_shard) {
  const known_submission* known = shared_.Find(id);
  if (known == nullptr || known->Ended() || !scheduler_.BeginMove(id))
    return;
  auto record = submissions::DecodeSubmission(known->record);
  if (!record)
    return;
  record.value().shard = target_shard;
  metadata::transaction change;
  change.conditions.push_back(OwnershipCondition(shard_, fence_));
  const std::string key = ToString({key_kind::kSubmission, id});
  change.conditions.push_back({key, known->accepted_revision});
  change.writes.push_back({key, EncodeAccepted(record.value())});
  log_.Write(
      "submission_moved",
      {{"submission", id}, {"from_shard", shard_}, {"to_shard", target_shard}});
  ++moves_in_flight_;
  CommitMove(id, std::move(change));
}

void shard_housekeeping::CommitMove(const std::string& id,
                                    metadata::transaction change) {
  // Without authority the outcome of an earlier attempt stays open, so that the
  // submission is neither placed nor given up.
  if (!is_valid_())
    return guard_.Later(settings_.retry,
                        [this, id, change] { CommitMove(id, change); });
  store_.Commit(change,
                guard_.Wrap([this, id, change](
                                base::result<metadata::commit_answer> answer) {
                  OnMove(id, change, std::move(answer));
                }));
}

void shard_housekeeping::OnMove(const std::string& id,
                                const metadata::transaction& change,
                                base::result<metadata::commit_answer> answer) {
  // Send the same transaction again: its conditions ensure that it takes effect
  // at most once.
  if (!answer)
    return guard_.Later(settings_.retry,
                        [this, id, change] { CommitMove(id, change); });
  --moves_in_flight_;
  // If the transaction was not applied, either an earlier attempt already moved
  // the submission, which the replica reports, or the ownership has ended.
  if (answer.value().applied)
    scheduler_.FinishMove(id);
}

}  // namespace chivecrank::runtime
