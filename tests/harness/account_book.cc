#include "harness/account_book.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace chivecrank::harness {
namespace {

void CountRequest(const call_record& record,
                  std::int64_t runs,
                  account_totals& totals) {
  ++totals.requests;
  if (record.late)
    ++totals.late;
  const bool ran_falsely =
      record.outcome == callers::request_outcome::kNotRun && runs > 0;
  if (runs > 1 || ran_falsely)
    ++totals.doubled;
  switch (record.outcome) {
    case callers::request_outcome::kCompleted:
      ++totals.answered;
      if (runs == 0 || record.wrong_answer)
        ++totals.lost;
      return;
    case callers::request_outcome::kNotRun:
      ++totals.not_run;
      return;
    case callers::request_outcome::kUnknown:
      ++totals.unknown;
      return;
  }
}

bool RanTwice(const std::vector<task_run>& runs) {
  const auto done =
      std::count_if(runs.begin(), runs.end(),
                    [](const task_run& run) { return run.state == "done"; });
  if (done > 1)
    return true;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      if (Overlap(runs[i], runs[j]))
        return true;
    }
  }
  return false;
}

}  // namespace

bool Overlap(const task_run& left, const task_run& right) {
  const std::int64_t left_to = left.to == 0 ? INT64_MAX : left.to;
  const std::int64_t right_to = right.to == 0 ? INT64_MAX : right.to;
  return left.from < right_to && right.from < left_to;
}

std::string Describe(const account_totals& totals) {
  std::ostringstream text;
  text << "demo: requests=" << totals.requests
       << " answered=" << totals.answered << " not_run=" << totals.not_run
       << " unknown=" << totals.unknown << " late=" << totals.late
       << " lost=" << totals.lost << " doubled=" << totals.doubled
       << " jobs=" << totals.jobs << " done=" << totals.done;
  return text.str();
}

void account_book::Add(call_record record) {
  std::lock_guard lock(mutex_);
  records_.push_back(std::move(record));
}

void account_book::AddJob(const std::string& job_id, bool done) {
  std::lock_guard lock(mutex_);
  jobs_[job_id] = done;
}

std::size_t account_book::size() {
  std::lock_guard lock(mutex_);
  return records_.size();
}

account_totals account_book::Compare(
    const std::map<std::string, std::int64_t>& request_runs,
    const std::vector<task_run>& task_runs) {
  std::lock_guard lock(mutex_);
  account_totals totals;
  for (const call_record& record : records_) {
    const auto found = request_runs.find(record.identifier);
    CountRequest(record, found == request_runs.end() ? 0 : found->second,
                 totals);
  }
  std::map<std::string, std::vector<task_run>> by_task;
  for (const task_run& run : task_runs)
    by_task[run.task_id].push_back(run);
  for (const auto& [task, runs] : by_task)
    totals.doubled += RanTwice(runs) ? 1 : 0;
  for (const auto& [job, done] : jobs_) {
    ++totals.jobs;
    totals.done += done ? 1 : 0;
    totals.lost += done ? 0 : 1;
  }
  return totals;
}

}  // namespace chivecrank::harness
