#include "store.h"

#include <algorithm>
#include <utility>

namespace chivecrank::lease_model {

using submissions::journal_entry;
using submissions::task_change;
using submissions::worker_record;

namespace {

void Merge(journal_entry& journal, const task_change& change) {
  const auto found =
      std::ranges::find(journal.tasks, change.task, &task_change::task);
  if (found == journal.tasks.end())
    journal.tasks.push_back(change);
  else
    *found = change;
}

void Merge(journal_entry& journal,
           const worker_record& record,
           bool keeps_bounds) {
  const auto found =
      std::ranges::find(journal.workers, record.worker, &worker_record::worker);
  if (found == journal.workers.end())
    journal.workers.push_back(record);
  else if (record.lease_left || !keeps_bounds)
    *found = record;
}

journal_entry Merged(journal_entry journal,
                     const journal_entry& entry,
                     bool keeps_bounds) {
  for (const task_change& change : entry.tasks)
    Merge(journal, change);
  for (const worker_record& record : entry.workers)
    Merge(journal, record, keeps_bounds);
  std::ranges::sort(journal.workers, {}, &worker_record::worker);
  return journal;
}

}  // namespace

void store::Append(const journal_entry& entry, bool keeps_bounds) {
  journal_entry journal =
      entry.is_snapshot ? entry : Merged(*journal_, entry, keeps_bounds);
  text_ = submissions::EncodeJournalEntry(journal);
  journal_ = std::make_shared<journal_entry>(std::move(journal));
}

}  // namespace chivecrank::lease_model
