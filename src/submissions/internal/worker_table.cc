#include "internal/worker_table.h"

#include <algorithm>
#include <array>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int64_t kFullPercent = 100;
constexpr std::array<std::string_view, 3> kCrashSettingNames = {
    "alone", "in_series", "common_cause"};

constexpr std::array<std::string_view, 4> kStayReasonNames = {
    "not_considered", "not_running", "too_many_unavailable", "no_capacity"};

bool IsOnTrial(const active_run& run) {
  return run.on_trial && !run.survived_start;
}

}  // namespace

std::string_view CrashSettingName(crash_setting value) {
  return kCrashSettingNames.at(static_cast<std::size_t>(value));
}

std::string_view StayReasonName(stay_reason value) {
  return kStayReasonNames.at(static_cast<std::size_t>(value));
}

worker_entry* worker_table::Find(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const worker_entry* worker_table::Find(const std::string& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

void worker_table::AddRun(worker_entry& worker,
                          const task_ref& task,
                          const active_run& run) {
  worker.reserved = scheduling::Plus(worker.reserved, run.reserved);
  worker.runs[task] = run;
  worker.trials += IsOnTrial(run) ? 1 : 0;
  worker.cached_occupancy.reset();
}

void worker_table::RemoveRun(worker_entry& worker, const task_ref& task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  worker.reserved = scheduling::Minus(worker.reserved, found->second.reserved);
  worker.trials -= IsOnTrial(found->second) ? 1 : 0;
  worker.runs.erase(found);
  worker.cached_occupancy.reset();
}

void worker_table::MarkSurvived(worker_entry& worker, active_run& run) {
  worker.trials -= IsOnTrial(run) ? 1 : 0;
  run.survived_start = true;
}

double worker_table::ShareOfProcessors(const worker_entry& worker,
                                       std::int64_t processors_milli) {
  return static_cast<double>(processors_milli) /
         static_cast<double>(std::max<std::int64_t>(
             worker.description.capacity.processors_milli, 1));
}

std::int64_t worker_table::UsedMilli(const active_run& run) {
  const bool known = run.throttle_percent != active_run::kThrottleUnknown;
  return run.processors_milli * (known ? run.throttle_percent : kFullPercent) /
         kFullPercent;
}

}  // namespace chivecrank::submissions::internal
