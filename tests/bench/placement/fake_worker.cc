#include "fake_worker.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chivecrank::bench {
namespace {

using scheduling::attempt_outcome;

constexpr elapsed kSaveTime{800};
/// Processors that a throttled attempt may use, as a part of its own.
constexpr double kThrottledSpeed = 0.25;
/// Time until a task on a bad worker or of a bad template crashes.
constexpr elapsed kCrashAfter{3000};
/// Run time after which an attempt reaches its memory peak.
constexpr double kPeakAfterSeconds = 10;

bool NeedsMoreMemory(const fake_attempt& attempt) {
  return attempt.truth != nullptr &&
         attempt.truth->size.memory_mib > attempt.granted.memory_mib &&
         attempt.done_s - attempt.began_s > kPeakAfterSeconds;
}

scheduling::usage_sample UsageOf(const fake_attempt& attempt) {
  const coordination::resources& wanted = attempt.truth->size;
  const coordination::resources& granted = attempt.granted;
  return {attempt.request.template_name,
          {std::min(granted.processors_milli, wanted.processors_milli),
           std::min(granted.memory_mib, wanted.memory_mib), 0},
          granted.processors_milli < wanted.processors_milli,
          NeedsMoreMemory(attempt)};
}

double SpeedOf(const fake_attempt& attempt) {
  const double wanted =
      static_cast<double>(attempt.truth->size.processors_milli);
  const double granted = static_cast<double>(attempt.granted.processors_milli);
  const double speed = std::min(1.0, granted / wanted);
  return attempt.throttled ? speed * kThrottledSpeed : speed;
}

}  // namespace

fake_worker::fake_worker(scheduling::worker_view view, bool bad)
    : view_(std::move(view)), bad_(bad) {}

void fake_worker::Start(fake_attempt started) {
  running_[started.request.id] = std::move(started);
}

void fake_worker::Checkpoint(const std::string& task_id,
                             elapsed now,
                             elapsed grace) {
  const auto found = running_.find(task_id);
  if (found == running_.end())
    return;
  fake_attempt& stopping = found->second;
  stopping.saving = stopping.truth != nullptr && stopping.truth->checkpoints &&
                    kSaveTime <= grace;
  stopping.stops = now + (stopping.saving ? kSaveTime : elapsed(1));
}

void fake_worker::Throttle(const std::string& task_id, bool throttled) {
  const auto found = running_.find(task_id);
  if (found != running_.end())
    found->second.throttled = throttled;
}

void fake_worker::Stop(const std::string& task_id, elapsed now) {
  const auto found = running_.find(task_id);
  if (found != running_.end())
    found->second.stops = now + elapsed(1);
}

void fake_worker::Die() {
  for (const auto& [id, attempt] : running_)
    End(attempt, attempt_outcome::kLost);
  running_.clear();
}

void fake_worker::Renew(elapsed lease_ends) {
  for (auto& [id, attempt] : running_)
    attempt.lease_ends = lease_ends;
}

void fake_worker::Advance(elapsed now,
                          elapsed step,
                          const std::string& bad_template) {
  for (auto at = running_.begin(); at != running_.end();) {
    fake_attempt& attempt = at->second;
    std::optional<attempt_outcome> outcome;
    if (attempt.truth != nullptr) {
      attempt.done_s +=
          SpeedOf(attempt) * std::chrono::duration<double>(step).count();
    }
    const bool bad = bad_ || attempt.request.template_name == bad_template;
    if (bad && now > attempt.started + kCrashAfter)
      outcome = attempt_outcome::kCrashed;
    else if (NeedsMoreMemory(attempt))
      outcome = attempt_outcome::kOutOfMemory;
    else if (attempt.truth != nullptr &&
             attempt.done_s >=
                 static_cast<double>(attempt.truth->run_time.count()))
      outcome = attempt_outcome::kDone;
    else if (now >= attempt.lease_ends)
      outcome = attempt_outcome::kStopped;
    else if (attempt.stops.count() > 0 && now >= attempt.stops)
      outcome = attempt_outcome::kStopped;
    if (!outcome) {
      ++at;
      continue;
    }
    if (*outcome == attempt_outcome::kStopped && attempt.saving)
      attempt.saved_s = attempt.done_s;
    End(attempt, *outcome);
    at = running_.erase(at);
  }
}

std::vector<fake_end> fake_worker::TakeEnded() {
  return std::exchange(ended_, {});
}

std::map<std::string, double> fake_worker::Exposures() const {
  std::map<std::string, double> exposures;
  for (const auto& [id, attempt] : running_) {
    if (attempt.truth == nullptr)
      continue;
    const double used =
        static_cast<double>(std::min(attempt.granted.processors_milli,
                                     attempt.truth->size.processors_milli));
    const double share =
        used / static_cast<double>(view_.capacity.processors_milli);
    exposures[attempt.request.template_name] +=
        attempt.throttled ? share * kThrottledSpeed : share;
  }
  return exposures;
}

std::vector<scheduling::usage_sample> fake_worker::Usage() const {
  std::vector<scheduling::usage_sample> samples;
  for (const auto& [id, attempt] : running_) {
    // Memory is told at the end only, when the peak was reached.
    if (attempt.truth == nullptr)
      continue;
    samples.push_back(UsageOf(attempt));
    samples.back().peak.memory_mib = 0;
    samples.back().memory_limited = true;
  }
  return samples;
}

void fake_worker::End(const fake_attempt& ended, attempt_outcome outcome) {
  fake_end end{ended.request.id, ended.attempt, outcome, ended.saved_s};
  if (outcome != attempt_outcome::kDone)
    end.lost_s = ended.done_s - ended.saved_s;
  if (ended.truth != nullptr)
    end.usage = UsageOf(ended);
  ended_.push_back(std::move(end));
}

}  // namespace chivecrank::bench
