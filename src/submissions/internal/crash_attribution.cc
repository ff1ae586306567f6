#include "internal/crash_attribution.h"

#include <algorithm>
#include <cstddef>

namespace chivecrank::submissions::internal {
namespace {

constexpr std::int32_t kWholeBlamePermille = 1000;
/// Three such crashes are not enough to give a task up.
constexpr std::int32_t kBlameInSeriesPermille = 330;
/// Crashes that make a task a suspect, whatever the blame for them is.
constexpr std::int32_t kCrashesToSuspect = 2;
/// Without so many confirmed starts that ended in a crash, blame is no reason
/// to give a task up.
constexpr std::int32_t kConfirmedCrashesToGiveUp = 2;
/// After as many crashes in a row without a sign of life, a task is given up
/// however little the blame for each is.
constexpr std::int32_t kMostCrashes = 5;
/// So many workers that fall silent together hardly do so for separate reasons.
constexpr std::size_t kFewestAtOnce = 3;
constexpr double kShareAtOnce = 0.04;
/// How long a silence is remembered.
constexpr std::chrono::seconds kSilenceMemory{30};

/// Blame that the possible causes of a crash share.
std::int32_t BlamePermille(crash_setting setting) {
  switch (setting) {
    case crash_setting::kAlone:
      return kWholeBlamePermille;
    case crash_setting::kInSeries:
      return kBlameInSeriesPermille;
    case crash_setting::kCommonCause:
      return 0;
  }
  return 0;
}

bool IsPossibleCause(const active_run& run) {
  return run.phase != run_phase::kUncommitted && !run.survived_start;
}

}  // namespace

bool crash_attribution::HasSurvivedStart(const active_run& run,
                                         base::time_point now) const {
  const bool is_alive =
      run.phase == run_phase::kRunning || run.phase == run_phase::kStopping;
  return is_alive && now - run.phase_since >= settings_.start_survival_time;
}

bool crash_attribution::HasJustStarted(const active_run& run) {
  return IsPossibleCause(run) &&
         (run.started_by_this_owner || run.on_trial || run.doubted);
}

bool crash_attribution::HasUnknownStart(const active_run& run) {
  return IsPossibleCause(run) && !HasJustStarted(run);
}

bool crash_attribution::OnSilent(worker_entry& worker, base::time_point now) {
  if (worker.silent_since)
    return false;
  worker.silent_since = now;
  worker.left_draining = worker.description.draining;
  std::erase_if(silences_, [now](const silence& past) {
    return now - past.since > kSilenceMemory;
  });
  // That a worker goes away after it has drained is no crash.
  if (worker.left_draining)
    return false;
  const bool has_possible_cause = std::ranges::any_of(
      worker.runs,
      [](const auto& entry) { return HasJustStarted(entry.second); });
  const bool has_trial = worker.trials > 0;
  silences_.push_back(
      {worker.description.id, now, has_possible_cause, has_trial});
  return true;
}

void crash_attribution::OnAnswered(const worker_entry& worker) {
  std::erase_if(silences_, [&](const silence& past) {
    return past.worker == worker.description.id &&
           past.since == worker.silent_since;
  });
}

crash_setting crash_attribution::SettingOf(const worker_entry& worker,
                                           base::time_point now) const {
  const base::time_point at = *worker.silent_since;
  crash_setting found = IsTooEarlyToTell(at, now) ? crash_setting::kInSeries
                                                  : crash_setting::kAlone;
  std::size_t at_once = 0;
  for (const silence& other : silences_) {
    const base::duration apart =
        other.since > at ? other.since - at : at - other.since;
    if (other.worker == worker.description.id || other.has_trial ||
        apart > settings_.crash_series_window)
      continue;
    const bool is_at_once = apart <= settings_.common_crash_window;
    if (is_at_once && !other.has_possible_cause)
      return crash_setting::kCommonCause;
    if (!other.has_possible_cause)
      found = crash_setting::kInSeries;
    at_once += is_at_once ? 1 : 0;
  }
  return IsMany(at_once) ? crash_setting::kInSeries : found;
}

bool crash_attribution::IsTooEarlyToTell(base::time_point silent_since,
                                         base::time_point now) const {
  return silent_since - begun_at_ < settings_.crash_series_window ||
         now - silent_since < settings_.common_crash_window;
}

bool crash_attribution::IsMany(std::size_t silent_workers) const {
  const double share = static_cast<double>(silent_workers) /
                       static_cast<double>(workers_.All().size());
  return silent_workers >= kFewestAtOnce && share >= kShareAtOnce;
}

void crash_attribution::Examine(worker_entry& worker, base::time_point now) {
  OnSilent(worker, now);
  worker.crash = {.setting = SettingOf(worker, now)};
  for (const auto& [task, run] : worker.runs) {
    worker.crash.started_runs += HasJustStarted(run) ? 1 : 0;
    worker.crash.unknown_runs += HasUnknownStart(run) ? 1 : 0;
  }
}

bool crash_attribution::Count(const worker_entry& worker,
                              const active_run& run,
                              task_progress& progress) {
  const crash_finding& crash = worker.crash;
  if (worker.left_draining || !IsPossibleCause(run))
    return false;
  const bool is_unknown = HasUnknownStart(run);
  if (is_unknown && crash.started_runs > 0)
    return false;
  ++progress.crashes;
  progress.confirmed_crashes += run.start_confirmed ? 1 : 0;
  const std::int32_t causes =
      is_unknown ? crash.unknown_runs : crash.started_runs;
  progress.crash_blame_permille +=
      BlamePermille(crash.setting) / std::max(causes, 1);
  return true;
}

bool crash_attribution::IsSuspect(const task_progress& progress) {
  return progress.crash_blame_permille > 0 ||
         progress.crashes >= kCrashesToSuspect;
}

bool crash_attribution::CrashesWorkers(const task_progress& progress) {
  if (progress.crashes >= kMostCrashes)
    return true;
  return progress.confirmed_crashes >= kConfirmedCrashesToGiveUp &&
         progress.crash_blame_permille > kWholeBlamePermille;
}

}  // namespace chivecrank::submissions::internal
