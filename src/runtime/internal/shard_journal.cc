#include "chivecrank/runtime/shard_journal.h"

#include <algorithm>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// Maximum number of old journal entries deleted by one transaction.
constexpr std::uint64_t kMaxDeletesPerCommit = 8;
/// Number of entries kept before a snapshot: a write that the store applies
/// late must find its entry existing, and fail.
constexpr std::uint64_t kRetainedEntries = 128;
/// Maximum number of entries written by one transaction. Each needs a condition
/// of its own; the transaction also has the condition on the owner key.
constexpr std::uint64_t kMaxEntriesPerCommit =
    (metadata::kMaxTransactionEntries - kMaxDeletesPerCommit - 1) / 2;

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

std::vector<submissions::journal_entry> shard_journal::ReadEntries(
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
  if (!batch_)
    return;
  in_flight_ = true;
  Commit(NextTransaction());
}

metadata::transaction shard_journal::NextTransaction() {
  metadata::transaction changes;
  content_ = {};
  changes.conditions.push_back(OwnershipCondition(shard_, fence_));
  if (!IsSnapshotDue() || !AddSnapshot(changes))
    AddTasks(changes);
  if (WritesLastTask())
    AddOutcomes(changes);
  for (std::uint64_t old = oldest_entry_;
       old < FirstRetainedEntry() && content_.deletes < kMaxDeletesPerCommit &&
       changes.Entries() < metadata::kMaxTransactionEntries;
       ++old, ++content_.deletes)
    changes.deletes.push_back(JournalKey(shard_, old));
  return changes;
}

bool shard_journal::AddSnapshot(metadata::transaction& changes) {
  const submissions::journal_entry snapshot = scheduler_.Snapshot();
  // Only the first entry is marked as a snapshot and carries the interference
  // estimates.
  const submissions::journal_entry continuation;
  metadata::transaction extended = changes;
  std::span<const submissions::task_change> rest = snapshot.tasks;
  do {
    const bool first = content_.entries == 0;
    rest =
        rest.subspan(AddEntry(first ? snapshot : continuation, rest, extended));
  } while (!rest.empty());
  if (content_.entries > kMaxEntriesPerCommit) {
    log_.Write("snapshot_too_large",
               {{"shard", shard_}, {"parts", content_.entries}});
    content_.entries = 0;
    oversized_snapshot_at_ = next_entry_;
    return false;
  }
  changes = std::move(extended);
  content_.is_snapshot = true;
  content_.tasks = batch_->tasks.size() - tasks_written_;
  return true;
}

void shard_journal::AddTasks(metadata::transaction& changes) {
  const std::span<const submissions::task_change> tasks = batch_->tasks;
  do {
    submissions::journal_entry entry;
    // The first entry carries the workers.
    if (tasks_written_ + content_.tasks == 0)
      entry.workers = batch_->workers;
    content_.tasks += AddEntry(
        entry, tasks.subspan(tasks_written_ + content_.tasks), changes);
  } while (!WritesLastTask() && content_.entries < kMaxEntriesPerCommit);
}

bool shard_journal::WritesLastTask() const {
  return tasks_written_ + content_.tasks == batch_->tasks.size();
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
  const std::string key = JournalKey(shard_, next_entry_ + content_.entries);
  changes.conditions.push_back({key, 0});
  changes.writes.push_back({key, std::move(text)});
  ++content_.entries;
  return tasks.size();
}

void shard_journal::AddOutcomes(metadata::transaction& changes) {
  for (std::size_t i = outcomes_written_;
       i < batch_->outcomes.size() && changes.Entries() + kMaxDeletesPerCommit <
                                          metadata::kMaxTransactionEntries;
       ++i, ++content_.outcomes)
    changes.writes.push_back(
        {ToString({key_kind::kOutcome, batch_->outcomes[i].submission}),
         submissions::EncodeOutcome(batch_->outcomes[i].outcome)});
}

bool shard_journal::IsSnapshotDue() const {
  return next_entry_ - std::max({snapshot_entry_, oldest_entry_,
                                 oversized_snapshot_at_}) >=
         settings_.scheduling.entries_per_snapshot;
}

std::uint64_t shard_journal::FirstRetainedEntry() const {
  return snapshot_entry_ > kRetainedEntries ? snapshot_entry_ - kRetainedEntries
                                            : 0;
}

void shard_journal::Commit(metadata::transaction changes) {
  if (!hooks_.is_valid())
    return guard_.Later(settings_.commit_retry_delay,
                        [this, changes = std::move(changes)]() mutable {
                          Commit(std::move(changes));
                        });
  auto sent = std::make_shared<metadata::transaction>(changes);
  store_.Commit(std::move(changes),
                guard_.Wrap([this, sent, sent_at = loop_.Now()](
                                base::result<metadata::commit_answer> answer) {
                  metrics_.OnCommit(answer.has_value(), loop_.Now() - sent_at);
                  OnCommit(*sent, std::move(answer));
                }));
}

void shard_journal::OnCommit(const metadata::transaction& changes,
                             base::result<metadata::commit_answer> answer) {
  if (!answer) {
    log_.Write("commit_failed", {{"shard", shard_},
                                 {"entry", next_entry_},
                                 {"error", answer.error().message}});
    // Send the same transaction again: its conditions ensure that it takes
    // effect at most once.
    return guard_.Later(settings_.commit_retry_delay,
                        [this, changes] { Commit(changes); });
  }
  if (answer.value().applied)
    return OnCommitted();
  const metadata::item* owner = answer.value().Current(OwnerKey(shard_));
  const bool still_owner = owner != nullptr && owner->changed_at == fence_;
  const bool applied_before =
      std::ranges::any_of(changes.writes, [&](const metadata::write& written) {
        const metadata::item* stored = answer.value().Current(written.key);
        return stored != nullptr && stored->value == written.value;
      });
  if (!still_owner || !applied_before)
    return hooks_.on_fenced("the store has another owner");
  OnCommitted();
}

void shard_journal::OnCommitted() {
  in_flight_ = false;
  AdvanceBatch();
  WriteNext();
  hooks_.on_committed();
}

void shard_journal::AdvanceBatch() {
  oldest_entry_ += content_.deletes;
  if (content_.is_snapshot)
    snapshot_entry_ = next_entry_;
  next_entry_ += content_.entries;
  tasks_written_ += content_.tasks;
  outcomes_written_ += content_.outcomes;
  const bool all_written = tasks_written_ == batch_->tasks.size() &&
                           outcomes_written_ == batch_->outcomes.size();
  if (all_written) {
    scheduler_.OnCommitted(batch_->number);
    batch_.reset();
  }
}

}  // namespace chivecrank::runtime
