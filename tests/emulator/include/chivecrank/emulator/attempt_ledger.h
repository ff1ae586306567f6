#ifndef CHIVECRANK_EMULATOR_ATTEMPT_LEDGER_H_
#define CHIVECRANK_EMULATOR_ATTEMPT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "chivecrank/submissions/types.h"

namespace chivecrank::emulator {

/// Counts the failed runs of each task, and for deadly tasks the workers that
/// crashed under it, and judges what the system makes of them.
class attempt_ledger {
 public:
  void OnFailed(const submissions::task_ref& task) { ++tasks_[task].failed; }
  void OnCrash(const submissions::task_ref& task) { ++tasks_[task].crashes; }
  /// Counts a start; returns false if the task was started too often after it
  /// had crashed workers.
  bool OnStart(const submissions::task_ref& task);
  /// Whether the submission may be shown as failed: a task of it failed
  /// `attempt_limit` times, or crashed two workers.
  bool MayHaveFailed(const std::string& submission,
                     std::int32_t attempt_limit) const;

 private:
  struct attempts {
    std::int32_t failed = 0;
    std::int32_t crashes = 0;
    std::int32_t starts_after_crashes = 0;
  };

  std::map<submissions::task_ref, attempts> tasks_;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_ATTEMPT_LEDGER_H_
