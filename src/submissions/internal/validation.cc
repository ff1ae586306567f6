#include "chivecrank/submissions/validation.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace chivecrank::submissions {
namespace {

/// Millicores, MiB or accelerators of a task; far above any worker, and small
/// enough that sums over all tasks of a shard can't overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr std::int32_t kMaxOccurrences = 10'000;
constexpr std::chrono::milliseconds kMaxTime = std::chrono::hours(24 * 365);

base::error Invalid(std::string what, std::string remedy) {
  return {base::error_kind::kInvalidArgument, std::move(what),
          std::move(remedy)};
}

bool IsAmount(std::int64_t amount) {
  return amount >= 0 && amount <= kMaxAmount;
}

bool IsTime(std::chrono::milliseconds time) {
  return time.count() >= 0 && time <= kMaxTime;
}

base::result<void> ValidateStep(const step_request& step, std::size_t number) {
  const std::string name = "step " + std::to_string(number);
  if (step.task_count < 1)
    return Invalid(name + " has no tasks", "ask for 1 or more tasks");
  const std::array amounts = {step.demand.processors_milli,
                              step.demand.memory_mib, step.demand.accelerators};
  if (!std::ranges::all_of(amounts, IsAmount))
    return Invalid(name + " asks for an amount out of range",
                   "ask for amounts from 0 to " + std::to_string(kMaxAmount));
  if (!IsTime(step.estimate) || !IsTime(step.latency_target))
    return Invalid(name + " has a time out of range",
                   "give times from 0 to a year in milliseconds");
  if (step.max_per_worker < 0 || step.max_unavailable < 0)
    return Invalid(name + " has a negative limit",
                   "leave the limit out or set it to 0 or more");
  const auto is_earlier = [number](std::int32_t earlier) {
    return earlier >= 0 && static_cast<std::size_t>(earlier) < number;
  };
  if (!std::ranges::all_of(step.after, is_earlier))
    return Invalid(name + " waits for a step that isn't an earlier one",
                   "use indices of earlier steps, counted from 0");
  return base::Success();
}

base::result<void> ValidateRecurrence(const recurrence& repeats) {
  if (repeats.count < 0 || repeats.count > kMaxOccurrences)
    return Invalid(
        "the number of occurrences is out of range",
        "leave it out or set it from 1 to " + std::to_string(kMaxOccurrences));
  if (!IsTime(repeats.interval) || repeats.first_due_since_epoch.count() < 0)
    return Invalid("the times of the occurrences are out of range",
                   "give times since 1970 and intervals of up to a year");
  return base::Success();
}

}  // namespace

base::result<void> Validate(const submission& offered) {
  if (offered.steps.empty())
    return Invalid("the submission has no steps", "list at least one step");
  BOOST_OUTCOME_TRYV(ValidateRecurrence(offered.repeats));
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < offered.steps.size(); ++i) {
    BOOST_OUTCOME_TRYV(ValidateStep(offered.steps[i], i));
    tasks += offered.steps[i].task_count;
  }
  const std::int64_t occurrences = std::max(offered.repeats.count, 1);
  if (tasks > kMaxTasksPerSubmission / occurrences)
    return Invalid("the submission has too many tasks over its occurrences",
                   "split it into submissions of at most " +
                       std::to_string(kMaxTasksPerSubmission) + " tasks");
  return base::Success();
}

}  // namespace chivecrank::submissions
