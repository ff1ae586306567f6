#include "chivecrank/submissions/types.h"

#include <algorithm>
#include <array>

namespace chivecrank::submissions {
namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "completed", "failed", "cancelled"};

constexpr std::array<std::string_view, 6> kRunEndNames = {
    "done", "failed", "stopped", "lapsed", "gang_broken", "gang_incomplete"};

constexpr std::array<std::string_view, 11> kStartAnswerNames = {
    "started",    "fenced",    "superseded", "lease_ended",
    "no_room",    "no_permit", "rejected",   "unhealthy",
    "other_life", "not_sent",  "unknown"};

template <class Enum, std::size_t kCount>
std::string_view NameIn(const std::array<std::string_view, kCount>& names,
                        Enum value) {
  return names.at(static_cast<std::size_t>(value));
}

/// Whether the step reserves processors as soon as its submission may start.
bool ReservesAtOnce(const step_request& step) {
  return !step.best_effort && step.after.empty();
}

}  // namespace

std::int64_t ReservedMilli(const submission& request) {
  std::int64_t reserved = 0;
  for (const step_request& step : request.steps)
    if (ReservesAtOnce(step))
      reserved += step.demand.processors_milli * step.task_count;
  return reserved;
}

std::int64_t LargestReservedMilli(const submission& request) {
  std::int64_t largest = 0;
  for (const step_request& step : request.steps)
    if (ReservesAtOnce(step))
      largest = std::max(largest, step.demand.processors_milli);
  return largest;
}

std::string_view SubmissionOutcomeName(submission_outcome value) {
  return NameIn(kOutcomeNames, value);
}

std::string_view RunOutcomeName(run_outcome value) {
  return NameIn(kRunEndNames, value);
}

task_ref FirstOfStep(const task_ref& task) {
  task_ref first = task;
  first.index = 0;
  return first;
}

std::string_view StartOutcomeName(start_outcome value) {
  return NameIn(kStartAnswerNames, value);
}

}  // namespace chivecrank::submissions
