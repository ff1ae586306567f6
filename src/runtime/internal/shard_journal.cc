#include "chivecrank/runtime/shard_journal.h"

#include <algorithm>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// The status tells reserved processors in steps of this many thousandths, so
/// that it doesn't change with each task.
constexpr std::int64_t kStatusStepMilli = 16'000;
/// Old entries of the journal that one transaction deletes.
constexpr std::uint64_t kDeletesPerCommit = 8;
/// Entries before a snapshot that stay for a while: a write that the store
/// carries out late must meet its entry, and fail.
constexpr std::uint64_t kKeptEntries = 128;
/// Entries that one transaction writes; each needs a condition of its own, and
/// the owner's key and the status go with them.
constexpr std::uint64_t kMostParts =
    (metadata::kMaxTransactionEntries - kDeletesPerCommit - 2) / 2;

}  // namespace

shard_journal::shard_journal(reactor::event_loop& loop,
                             metadata::store& store,
                             event_log::event_log& log,
                             instance_metrics& metrics,
                             submissions::shard_scheduler& scheduler,
                             std::uint32_t shard,
                             metadata::revision fence,
                             const driver_settings& settings,
                             hooks handlers)
    : loop_(loop),
      store_(store),
      log_(log),
      metrics_(metrics),
      scheduler_(scheduler),
      shard_(shard),
      fence_(fence),
      settings_(settings),
      hooks_(std::move(handlers)),
      guard_(loop) {}

std::vector<submissions::journal_entry> shard_journal::Continue(
    const std::vector<metadata::item>& items) {
  std::vector<submissions::journal_entry> entries;
  for (const metadata::item& item : items) {
    const auto number = ParseJournalKey(shard_, item.key);
    auto entry = submissions::DecodeJournalEntry(item.value);
    if (!number || !entry) {
      log_.Write("journal_entry_rejected", {{"key", item.key}});
      continue;
    }
    if (entries.empty())
      oldest_entry_ = *number;
    if (entry.value().is_snapshot) {
      entries.clear();
      snapshot_entry_ = *number;
    }
    entries.push_back(std::move(entry.value()));
    next_entry_ = *number + 1;
  }
  return entries;
}

void shard_journal::WriteNext() {
  if (in_flight_)
    return;
  if (!batch_) {
    batch_ = scheduler_.TakeBatch();
    outcomes_written_ = 0;
    tasks_written_ = 0;
  }
  metadata::transaction changes = NextTransaction();
  if (changes.writes.empty())
    return;
  in_flight_ = true;
  Commit(std::move(changes));
}

metadata::transaction shard_journal::NextTransaction() {
  metadata::transaction changes;
  part_ = {};
  if (auto status = StatusWrite())
    changes.writes.push_back(std::move(*status));
  if (!batch_ && changes.writes.empty())
    return changes;
  changes.conditions.push_back(OwnedSince(shard_, fence_));
  if (!batch_)
    return changes;
  if (!SnapshotDue() || !AddSnapshot(changes))
    AddTasks(changes);
  if (TasksGoOut())
    AddOutcomes(changes);
  for (std::uint64_t old = oldest_entry_;
       old < KeptFrom() && part_.deletes < kDeletesPerCommit &&
       changes.Entries() < metadata::kMaxTransactionEntries;
       ++old, ++part_.deletes)
    changes.deletes.push_back(JournalKey(shard_, old));
  return changes;
}

bool shard_journal::AddSnapshot(metadata::transaction& changes) {
  const submissions::journal_entry snapshot = scheduler_.Snapshot();
  // Only the first entry tells that it is a snapshot, and what was learned.
  const submissions::journal_entry further;
  metadata::transaction with = changes;
  std::span<const submissions::task_change> rest = snapshot.tasks;
  do {
    const bool first = part_.entries == 0;
    rest = rest.subspan(AddEntry(first ? snapshot : further, rest, with));
  } while (!rest.empty());
  if (part_.entries > kMostParts) {
    log_.Write("snapshot_too_large",
               {{"shard", shard_}, {"parts", part_.entries}});
    part_.entries = 0;
    too_large_at_ = next_entry_;
    return false;
  }
  changes = std::move(with);
  part_.is_snapshot = true;
  part_.tasks = batch_->tasks.size() - tasks_written_;
  return true;
}

void shard_journal::AddTasks(metadata::transaction& changes) {
  const std::span<const submissions::task_change> tasks = batch_->tasks;
  do
    part_.tasks +=
        AddEntry({}, tasks.subspan(tasks_written_ + part_.tasks), changes);
  while (!TasksGoOut() && part_.entries < kMostParts);
}

bool shard_journal::TasksGoOut() const {
  return tasks_written_ + part_.tasks == batch_->tasks.size();
}

std::size_t shard_journal::AddEntry(
    const submissions::journal_entry& entry,
    std::span<const submissions::task_change> tasks,
    metadata::transaction& changes) {
  std::string text = submissions::EncodeJournalEntry(entry, tasks);
  while (text.size() > settings_.max_entry_bytes && tasks.size() > 1) {
    tasks = tasks.first(tasks.size() / 2);
    text = submissions::EncodeJournalEntry(entry, tasks);
  }
  const std::string key = JournalKey(shard_, next_entry_ + part_.entries);
  changes.conditions.push_back({key, 0});
  changes.writes.push_back({key, std::move(text)});
  ++part_.entries;
  return tasks.size();
}

void shard_journal::AddOutcomes(metadata::transaction& changes) {
  for (std::size_t i = outcomes_written_;
       i < batch_->outcomes.size() &&
       changes.Entries() + kDeletesPerCommit < metadata::kMaxTransactionEntries;
       ++i, ++part_.outcomes)
    changes.writes.push_back(
        {ToString({key_kind::kOutcome, batch_->outcomes[i].submission}),
         submissions::EncodeOutcome(batch_->outcomes[i].outcome)});
}

bool shard_journal::SnapshotDue() const {
  return next_entry_ -
             std::max({snapshot_entry_, oldest_entry_, too_large_at_}) >=
         settings_.scheduling.entries_per_snapshot;
}

std::uint64_t shard_journal::KeptFrom() const {
  return snapshot_entry_ > kKeptEntries ? snapshot_entry_ - kKeptEntries : 0;
}

std::optional<metadata::write> shard_journal::StatusWrite() {
  const base::time_point now = loop_.Now();
  if (now - status_at_ < settings_.status_interval)
    return std::nullopt;
  std::string status = EncodeShardStatus(CurrentStatus());
  if (status == written_status_)
    return std::nullopt;
  status_at_ = now;
  written_status_ = status;
  return metadata::write{ToString({key_kind::kShardStatus, ShardName(shard_)}),
                         std::move(status)};
}

shard_status shard_journal::CurrentStatus() const {
  const submissions::shard_load load = scheduler_.Load();
  shard_status status;
  status.capacity_milli = load.capacity.processors_milli;
  status.reserved_milli =
      load.reserved.processors_milli / kStatusStepMilli * kStatusStepMilli;
  for (std::string& id : scheduler_.UnstartedSubmissions())
    status.not_started.insert(std::move(id));
  return status;
}

void shard_journal::Commit(metadata::transaction changes) {
  if (!hooks_.is_valid())
    return guard_.Later(settings_.commit_retry,
                        [this, changes = std::move(changes)]() mutable {
                          Commit(std::move(changes));
                        });
  auto sent = std::make_shared<metadata::transaction>(changes);
  store_.Commit(std::move(changes),
                guard_.Wrap([this, sent, since = loop_.Now()](
                                base::result<metadata::commit_answer> answer) {
                  metrics_.OnCommit(answer.has_value(), loop_.Now() - since);
                  OnCommit(*sent, std::move(answer));
                }));
}

void shard_journal::OnCommit(const metadata::transaction& changes,
                             base::result<metadata::commit_answer> answer) {
  if (!answer) {
    log_.Write("commit_failed", {{"shard", shard_},
                                 {"entry", next_entry_},
                                 {"error", answer.error().message}});
    // The same again: its conditions let it happen only once.
    return guard_.Later(settings_.commit_retry,
                        [this, changes] { Commit(changes); });
  }
  if (answer.value().applied)
    return OnCommitted();
  const std::string owner_key = OwnerKey(shard_);
  bool still_owner = false;
  bool applied_before = false;
  for (const metadata::item& item : answer.value().current) {
    if (item.key == owner_key && item.changed_at == fence_)
      still_owner = true;
    for (const metadata::write& written : changes.writes)
      if (item.key == written.key && item.value == written.value)
        applied_before = true;
  }
  if (!still_owner || !applied_before)
    return hooks_.on_fenced("the store knows another owner");
  OnCommitted();
}

void shard_journal::OnCommitted() {
  in_flight_ = false;
  if (batch_)
    NoteBatchWritten();
  WriteNext();
  hooks_.on_committed();
}

void shard_journal::NoteBatchWritten() {
  oldest_entry_ += part_.deletes;
  if (part_.is_snapshot)
    snapshot_entry_ = next_entry_;
  next_entry_ += part_.entries;
  tasks_written_ += part_.tasks;
  outcomes_written_ += part_.outcomes;
  const bool whole = tasks_written_ == batch_->tasks.size() &&
                     outcomes_written_ == batch_->outcomes.size();
  if (whole) {
    scheduler_.OnCommitted(batch_->number);
    batch_.reset();
  }
}

}  // namespace chivecrank::runtime
