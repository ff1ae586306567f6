#include "internal/choice_waits.h"

#include <utility>

namespace chivecrank::submissions::internal {
namespace {

/// Longer than the pause between two planning rounds.
constexpr std::chrono::milliseconds kForgetAfter{1000};
constexpr std::int32_t kAnyTask = -1;

}  // namespace

task_ref choice_waits::KeyOf(task_ref task, bool failed_before) {
  if (!failed_before)
    task.index = kAnyTask;
  return task;
}

void choice_waits::BeginRound(base::time_point now) {
  absl::erase_if(waits_, [now](const auto& entry) {
    return now - entry.second.seen_at > kForgetAfter;
  });
}

bool choice_waits::OnNoWorker(const task_ref& task,
                              bool failed_before,
                              base::time_point now) {
  wait& found = waits_.try_emplace(KeyOf(task, failed_before), wait{now, now})
                    .first->second;
  found.seen_at = now;
  if (now - found.since < limit_)
    return false;
  return !std::exchange(found.told, true);
}

void choice_waits::OnPlaced(const task_ref& task, bool failed_before) {
  waits_.erase(KeyOf(task, failed_before));
}

bool choice_waits::HasWaited(const task_ref& task,
                             bool failed_before,
                             base::time_point now) const {
  const auto found = waits_.find(KeyOf(task, failed_before));
  return found != waits_.end() && now - found->second.since >= limit_;
}

}  // namespace chivecrank::submissions::internal
