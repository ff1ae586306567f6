#ifndef CHIVECRANK_SUBMISSIONS_RECORD_CODEC_H_
#define CHIVECRANK_SUBMISSIONS_RECORD_CODEC_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/submissions/interference_estimate.h"
#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// The record of an accepted submission, as it is stored.
std::string EncodeSubmission(const submission& accepted);

/// kCorrupt when `text` is no such record.
base::result<submission> DecodeSubmission(std::string_view text);

/// One entry of a shard's journal. `whole` marks a snapshot: entries before it
/// no longer count. A snapshot also holds what was learned of pairs of images,
/// so that a new owner needn't disturb services to learn it again.
struct journal_entry {
  bool is_snapshot = false;
  std::vector<task_change> tasks;
  std::vector<interference_estimate> interference_estimates;
};

std::string EncodeJournalEntry(const journal_entry& entry);
/// The entry without its tasks, and these in their place.
std::string EncodeJournalEntry(const journal_entry& entry,
                               std::span<const task_change> tasks);

/// kCorrupt when `text` is no such entry.
base::result<journal_entry> DecodeJournalEntry(std::string_view text);

/// The record of an outcome.
std::string EncodeOutcome(submission_outcome outcome);

/// kCorrupt when `text` names none.
base::result<submission_outcome> DecodeOutcome(std::string_view text);

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_RECORD_CODEC_H_
