#ifndef CHIVECRANK_TESTS_HARNESS_ACCOUNT_BOOK_H_
#define CHIVECRANK_TESTS_HARNESS_ACCOUNT_BOOK_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {

/// Whether two runs of a task ran at the same time.
bool Overlap(const task_run& left, const task_run& right);

/// Totals of a run, from the callers' and the workers' accounts.
struct account_totals {
  std::int64_t requests = 0;
  std::int64_t answered = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t late = 0;
  /// Answered requests that no worker ran, wrong answers, and accepted jobs
  /// that did not finish.
  std::int64_t lost = 0;
  /// Requests that ran twice, or ran though the caller was told they did not,
  /// and jobs that ran in two places at once or finished twice.
  std::int64_t doubled = 0;
  std::int64_t jobs = 0;
  std::int64_t done = 0;
};

/// "demo: requests=N ... done=N".
std::string Describe(const account_totals& totals);

/// Collects what callers saw. Safe to use from several threads.
class account_book {
 public:
  void Add(call_record record);
  void AddJob(const std::string& job_id, bool done);

  /// Compares the callers' records with the workers'.
  account_totals Compare(
      const std::map<std::string, std::int64_t>& request_runs,
      const std::vector<task_run>& task_runs);

  std::size_t size();

 private:
  std::mutex mutex_;
  std::vector<call_record> records_;
  std::map<std::string, bool> jobs_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_ACCOUNT_BOOK_H_
