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

/// Encodes an accepted submission as it is stored.
std::string EncodeSubmission(const submission& accepted);

/// Returns kCorrupt if `text` is not a valid submission record.
base::result<submission> DecodeSubmission(std::string_view text);

/// One entry of a shard's journal. A snapshot replaces all entries before it.
/// It also holds the interference estimates, so that a new owner need not
/// disturb services to learn them again.
struct journal_entry {
  bool is_snapshot = false;
  std::vector<task_change> tasks;
  std::vector<interference_estimate> interference_estimates;
  std::vector<worker_record> workers;
};

std::string EncodeJournalEntry(const journal_entry& entry);
/// Encodes `entry` with `tasks` in place of its own tasks.
std::string EncodeJournalEntry(const journal_entry& entry,
                               std::span<const task_change> tasks);

/// Returns kCorrupt if `text` is not a valid journal entry.
base::result<journal_entry> DecodeJournalEntry(std::string_view text);

std::string EncodeOutcome(submission_outcome outcome);

/// Returns kCorrupt if `text` is not the name of an outcome.
base::result<submission_outcome> DecodeOutcome(std::string_view text);

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_RECORD_CODEC_H_
