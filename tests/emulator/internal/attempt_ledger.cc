#include "chivecrank/emulator/attempt_ledger.h"

namespace chivecrank::emulator {
namespace {

/// Crashes after which starts are counted, and how many are too many then.
constexpr std::int32_t kCrashesBeforeCount = 3;
constexpr std::int32_t kTooManyStarts = 3;
/// Crashes after which a task may be given up.
constexpr std::int32_t kCrashesToGiveUp = 2;

}  // namespace

bool attempt_ledger::OnStart(const submissions::task_ref& task) {
  attempts& counted = tasks_[task];
  if (counted.crashes >= kCrashesBeforeCount)
    ++counted.starts_after_crashes;
  return counted.starts_after_crashes < kTooManyStarts;
}

bool attempt_ledger::MayHaveFailed(const std::string& submission,
                                   std::int32_t attempt_limit) const {
  for (auto next = tasks_.lower_bound({submission});
       next != tasks_.end() && next->first.submission == submission; ++next)
    if (next->second.failed >= attempt_limit ||
        next->second.crashes >= kCrashesToGiveUp)
      return true;
  return false;
}

}  // namespace chivecrank::emulator
