#include "internal/worker_health.h"

#include <algorithm>

namespace chivecrank::submissions::internal {
namespace {

/// Weight of the newest end in the share of failures.
constexpr double kNewestWeight = 0.25;
/// Share of failures up to which a worker is proven: a failure is forgotten
/// after four runs that end as done.
constexpr double kProvenShare = 0.1;
/// With more workers on probation than this share, their common cause lies
/// elsewhere.
constexpr double kMaxOnProbation = 0.3;
/// Share of proven workers from which on retries use no others.
constexpr double kEnoughProven = 0.5;

void CountEnd(health_state& health, bool failed) {
  health.failure_share +=
      kNewestWeight * ((failed ? 1.0 : 0.0) - health.failure_share);
  health.has_ended_runs = true;
}

void ForgetFailures(health_state& health) {
  health.consecutive_failures = 0;
  health.done_meanwhile = 0;
  health.last_failed_submission.clear();
  health.failing_since.reset();
  health.on_probation = false;
  health.test.reset();
}

bool IsTest(const health_state& health, const task_ref& task) {
  return health.test && *health.test == task;
}

}  // namespace

void worker_health::BeginRound(base::time_point now) {
  std::size_t usable = 0;
  std::size_t on_probation = 0;
  std::size_t proven = 0;
  for (auto& [id, worker] : workers_.All()) {
    health_state& health = worker.health;
    if (health.test && !worker.runs.contains(*health.test)) {
      health.test.reset();
      health.test_after = now + health.test_pause;
    }
    if (!worker.listed || worker.description.draining)
      continue;
    ++usable;
    on_probation += health.on_probation ? 1 : 0;
    proven += IsProven(worker) ? 1 : 0;
  }
  const auto share_of = [usable](std::size_t count) {
    return static_cast<double>(count) /
           static_cast<double>(std::max<std::size_t>(usable, 1));
  };
  any_on_probation_ = on_probation > 0;
  leaves_alone_ = share_of(on_probation) <= kMaxOnProbation;
  retries_choose_ = share_of(proven) >= kEnoughProven;
}

worker_health::change worker_health::OnDone(worker_entry& worker,
                                            base::time_point begun_at) {
  health_state& health = worker.health;
  CountEnd(health, false);
  if (!health.failing_since)
    return change::kNone;
  if (begun_at < *health.failing_since) {
    ++health.done_meanwhile;
    return change::kNone;
  }
  const bool was_on_probation = health.on_probation;
  ForgetFailures(health);
  return was_on_probation ? change::kTrusted : change::kNone;
}

worker_health::change worker_health::OnFailed(worker_entry& worker,
                                              const task_ref& task,
                                              base::time_point begun_at,
                                              base::time_point now) const {
  health_state& health = worker.health;
  CountEnd(health, true);
  if (IsTest(health, task)) {
    health.test.reset();
    health.test_pause =
        std::min(2 * health.test_pause, settings_.longest_test_pause);
    health.test_after = now + health.test_pause;
    return change::kNone;
  }
  if (health.on_probation || health.last_failed_submission == task.submission)
    return change::kNone;
  if (!health.failing_since)
    health.failing_since = begun_at;
  health.last_failed_submission = task.submission;
  ++health.consecutive_failures;
  if (health.consecutive_failures < settings_.failures_before_avoidance ||
      health.consecutive_failures <= health.done_meanwhile)
    return change::kNone;
  health.on_probation = true;
  health.test_pause = settings_.first_test_pause;
  health.test_after = now + health.test_pause;
  return change::kOnProbation;
}

bool worker_health::Allows(const worker_entry& worker,
                           const start_candidate& candidate,
                           base::time_point now) const {
  const health_state& health = worker.health;
  if (health.on_probation && leaves_alone_) {
    if (health.test)
      return false;
    if (candidate.can_test_worker && now >= health.test_after)
      return true;
    return candidate.has_waited && now >= TestDueAfterWait(health, candidate);
  }
  const bool chooses = candidate.failures > 0 && retries_choose_ &&
                       !candidate.is_bound && !candidate.has_waited;
  return !chooses || IsProven(worker);
}

base::time_point worker_health::TestDueAfterWait(
    const health_state& health,
    const start_candidate& candidate) const {
  // Others, who risk less, go first.
  if (!candidate.has_spare_attempts)
    return health.test_after + settings_.longest_choice;
  const base::time_point last_failure = health.test_after - health.test_pause;
  return std::min(health.test_after, last_failure + settings_.longest_choice);
}

worker_health::change worker_health::OnAlive(worker_entry& worker,
                                             const task_ref& task,
                                             base::time_point running_since,
                                             base::time_point now) const {
  if (!IsTest(worker.health, task) ||
      now - running_since < settings_.service_test_time)
    return change::kNone;
  ForgetFailures(worker.health);
  return change::kTrusted;
}

void worker_health::OnAssign(worker_entry& worker, const task_ref& task) {
  if (worker.health.on_probation)
    worker.health.test = task;
}

bool worker_health::IsProven(const worker_entry& worker) {
  return worker.health.has_ended_runs && !worker.health.on_probation &&
         worker.health.failure_share <= kProvenShare;
}

}  // namespace chivecrank::submissions::internal
